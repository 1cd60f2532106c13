/**
 * Simulates the engines of one group, whose ranks run in lockstep on an expert
 * map. The clock is passed in: steps only begin in `advance`.
 *
 * A rank begins a step once every rank of its group incarnation has finished
 * the previous one. A rank that holds or stalls therefore blocks all others,
 * and ranks can be at most one step apart.
 */
import {
  expertsOf,
  hashExpertMap,
  ranksOf,
  sameBallot,
  type Ballot,
  type EngineCall,
  type ExpertMap,
  type StepReport,
  type ExpertWeightId,
} from "../src/internal.js";
import { MapRegister, type RegisterAnswer } from "./map-register.js";

export interface EngineGroupSettings {
  readonly bytesPerExpert: number;
  /** Minimum duration of a step. */
  readonly stepMs: number;
  /** Processing time per token on a rank of speed 1. */
  readonly tokenMs: number;
  /** Token count of a step by layer and expert. */
  readonly demand: (step: number) => readonly (readonly number[])[];
  readonly speed: (rank: number) => number;
  /** Publication delay of a step report; undefined drops the report. */
  readonly reportDelayMs: () => number | undefined;
  /**
   * Whether engines hold at the step of an uncommitted proposal. Only the
   * fuzzer's mutation test turns this off.
   */
  readonly enforcesHolds: boolean;
  /** Called for every step that a member begins; test oracles record these. */
  readonly onStep: (record: StepRecord) => void;
}

export interface StepRecord {
  readonly group: Ballot;
  readonly member: string;
  readonly step: number;
  readonly version: number;
  readonly mapHash: string;
}

interface DelayedReport {
  readonly visibleAtMs: number;
  readonly report: StepReport;
}

interface Engine {
  readonly member: string;
  register: MapRegister;
  startCount: number;
  stalledUntilMs: number;
  /** End of the current step on the slowest rank of this engine. */
  busyUntilMs: number;
  reports: DelayedReport[];
}

const MAXIMUM_KEPT_REPORTS = 4_096;

export const defaultEngineGroupSettings: EngineGroupSettings = {
  bytesPerExpert: 1,
  stepMs: 5,
  tokenMs: 0,
  demand: () => [],
  speed: () => 1,
  reportDelayMs: () => undefined,
  enforcesHolds: true,
  onStep: () => undefined,
};

export class EngineGroup {
  private readonly engines = new Map<string, Engine>();

  private constructor(private readonly settings: EngineGroupSettings) {}

  static create(settings: EngineGroupSettings): EngineGroup {
    return new EngineGroup(settings);
  }

  /** Starts an engine, or restarts it with empty state. */
  start(member: string): void {
    const startCount = (this.engines.get(member)?.startCount ?? 0) + 1;
    const register = MapRegister.create({
      member,
      engine: `${member}#${startCount}`,
      bytesPerExpert: this.settings.bytesPerExpert,
    });
    this.engines.set(member, {
      member,
      register,
      startCount,
      stalledUntilMs: 0,
      busyUntilMs: 0,
      reports: [],
    });
  }

  /** Removes an engine permanently. */
  remove(member: string): void {
    this.engines.delete(member);
  }

  stall(member: string, untilMs: number): void {
    const engine = this.engines.get(member);
    if (engine !== undefined) engine.stalledUntilMs = untilMs;
  }

  call(
    member: string,
    call: EngineCall,
    now: number,
  ): RegisterAnswer | undefined {
    return this.engines.get(member)?.register.call(call, now);
  }

  putWeight(
    member: string,
    weight: ExpertWeightId,
    offset: number,
    length: number,
  ): number | undefined {
    return this.engines.get(member)?.register.putWeight(weight, offset, length);
  }

  /** Step reports published by `now`, starting at step `from`. */
  reports(member: string, from: number, now: number): readonly StepReport[] {
    const reports = this.engines.get(member)?.reports ?? [];
    return reports
      .filter(({ visibleAtMs, report }) => {
        return visibleAtMs <= now && report.step >= from;
      })
      .map(({ report }) => report);
  }

  /** Begins the next step of every engine that is ready for it. */
  advance(now: number): void {
    for (const engine of this.engines.values()) {
      if (this.canBeginStep(engine, now)) this.beginStep(engine, now);
    }
  }

  private canBeginStep(engine: Engine, now: number): boolean {
    const { register, stalledUntilMs, busyUntilMs } = engine;
    if (register.group === null || now < stalledUntilMs || now < busyUntilMs) {
      return false;
    }
    if (!this.peersReachedStep(register, now)) return false;
    return !(register.mustHold(now) && this.settings.enforcesHolds);
  }

  private peersReachedStep(register: MapRegister, now: number): boolean {
    return register.members.every(({ member }) => {
      const peer = this.engines.get(member);
      if (peer === undefined) return false;
      const { group, step } = peer.register;
      if (!sameBallot(group, register.group)) return false;
      const hasEnded = step > register.step || now >= peer.busyUntilMs;
      return step >= register.step && hasEnded;
    });
  }

  private beginStep(engine: Engine, now: number): void {
    const { register, member } = engine;
    register.switchIfCommitted();
    const { group, activeMap, step } = register;
    if (group === null || activeMap === undefined) return;
    const { version, map } = activeMap;
    const mapHash = hashExpertMap(map);
    this.settings.onStep({ group, member, step, version, mapHash });
    const durationMs = this.runStep(engine, map, now);
    engine.busyUntilMs = now + durationMs;
    register.stepMs = durationMs;
    register.step = step + 1;
  }

  /** Publishes each rank's report and returns the longest rank time. */
  private runStep(engine: Engine, map: ExpertMap, now: number): number {
    const { register } = engine;
    const { stepMs, tokenMs, speed, demand } = this.settings;
    const tokens = demand(register.step);
    const ranks = ranksOf(register.members, engine.member);
    const durations = ranks.map((rank) => {
      const counts = countRankTokens(map, rank, tokens);
      const load = counts.flat().reduce((sum, value) => sum + value, 0);
      const durationMs = stepMs + (load * tokenMs) / speed(rank);
      this.publishReport(engine, rank, counts, durationMs, now);
      return durationMs;
    });
    return Math.max(stepMs, ...durations);
  }

  private publishReport(
    engine: Engine,
    rank: number,
    counts: StepReport["counts"],
    durationMs: number,
    now: number,
  ): void {
    const delayMs = this.settings.reportDelayMs();
    const { group, activeMap, step } = engine.register;
    if (delayMs === undefined || group === null || activeMap === undefined)
      return;
    const { version } = activeMap;
    const mapHash = hashExpertMap(activeMap.map);
    const report: StepReport = {
      group,
      step,
      rank,
      version,
      mapHash,
      durationMs,
      counts,
    };
    engine.reports.push({ visibleAtMs: now + durationMs + delayMs, report });
    if (engine.reports.length > MAXIMUM_KEPT_REPORTS) engine.reports.shift();
  }
}

/** Tokens a rank processes; replicas of an expert share its tokens evenly. */
function countRankTokens(
  map: ExpertMap,
  rank: number,
  tokens: readonly (readonly number[])[],
): readonly (readonly number[])[] {
  return tokens.map((experts, layer) => {
    const replicas = countReplicas(map, layer);
    const counts = experts.map(() => 0);
    for (const expert of expertsOf(map, layer, rank)) {
      counts[expert] = (experts[expert] ?? 0) / (replicas.get(expert) ?? 1);
    }
    return counts;
  });
}

function countReplicas(
  map: ExpertMap,
  layer: number,
): ReadonlyMap<number, number> {
  const replicas = new Map<number, number>();
  for (let rank = 0; rank < map.shape.ranks; rank += 1) {
    for (const expert of expertsOf(map, layer, rank)) {
      replicas.set(expert, (replicas.get(expert) ?? 0) + 1);
    }
  }
  return replicas;
}
