/**
 * Stand-in for the engines of one group: ranks that run in lock-step on an
 * expert map. Time only passes through `advance`.
 *
 * A rank begins a step when every rank of its incarnation has begun the step
 * before, so a rank that holds or stalls holds back all the rest, and for one
 * step some ranks may be ahead of others.
 */
import {
  expertsOf,
  hashMap,
  ranksOf,
  sameBallot,
  type Ballot,
  type EngineCall,
  type ExpertMap,
  type StepReport,
  type WeightName,
} from "../src/internal.js";
import { MapRegister, type RegisterAnswer } from "./map-register.js";

export interface EngineGroupSettings {
  readonly bytesPerExpert: number;
  /** Shortest time of a step. */
  readonly stepMs: number;
  /** Time that a token of an expert costs a rank of speed 1. */
  readonly tokenMs: number;
  /** Tokens of each expert of each layer in a step. */
  readonly demand: (step: number) => readonly (readonly number[])[];
  readonly speed: (rank: number) => number;
  /** Delay of a step report, or undefined for one that is never published. */
  readonly reportDelayMs: () => number | undefined;
  /** Off only in the fuzzer's mutation. */
  readonly holds: boolean;
  /** Told of every step that a member begins: the oracle's record. */
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
  readonly visibleAt: number;
  readonly report: StepReport;
}

interface Engine {
  readonly member: string;
  register: MapRegister;
  starts: number;
  stalledUntil: number;
  /** When the step that was begun last ends for this engine's ranks. */
  busyUntil: number;
  reports: DelayedReport[];
}

const LARGEST_REPORTS = 4_096;

export const quietSettings: EngineGroupSettings = {
  bytesPerExpert: 1,
  stepMs: 5,
  tokenMs: 0,
  demand: () => [],
  speed: () => 1,
  reportDelayMs: () => undefined,
  holds: true,
  onStep: () => undefined,
};

export class EngineGroup {
  private readonly engines = new Map<string, Engine>();

  private constructor(private readonly settings: EngineGroupSettings) {}

  static create(settings: EngineGroupSettings): EngineGroup {
    return new EngineGroup(settings);
  }

  /** An engine starts, or starts again and has forgotten everything. */
  start(member: string): void {
    const starts = (this.engines.get(member)?.starts ?? 0) + 1;
    const register = MapRegister.create({
      member,
      engine: `${member}#${starts}`,
      bytesPerExpert: this.settings.bytesPerExpert,
    });
    this.engines.set(member, {
      member,
      register,
      starts,
      stalledUntil: 0,
      busyUntil: 0,
      reports: [],
    });
  }

  /** The engine is gone for good. */
  remove(member: string): void {
    this.engines.delete(member);
  }

  stall(member: string, until: number): void {
    const engine = this.engines.get(member);
    if (engine !== undefined) engine.stalledUntil = until;
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
    weight: WeightName,
    offset: number,
    length: number,
  ): number | undefined {
    return this.engines.get(member)?.register.putWeight(weight, offset, length);
  }

  /** Step reports that are published by now, from a step on. */
  reports(member: string, from: number, now: number): readonly StepReport[] {
    const reports = this.engines.get(member)?.reports ?? [];
    return reports
      .filter(({ visibleAt, report }) => {
        return visibleAt <= now && report.step >= from;
      })
      .map(({ report }) => report);
  }

  /** Lets every engine begin its next step where it can. */
  advance(now: number): void {
    for (const engine of this.engines.values()) {
      if (this.mayBegin(engine, now)) this.begin(engine, now);
    }
  }

  private mayBegin(engine: Engine, now: number): boolean {
    const { register, stalledUntil, busyUntil } = engine;
    if (register.group === null || now < stalledUntil || now < busyUntil) {
      return false;
    }
    if (!this.othersCameUp(register, now)) return false;
    return !(register.mustHold(now) && this.settings.holds);
  }

  private othersCameUp(register: MapRegister, now: number): boolean {
    return register.members.every(({ member }) => {
      const other = this.engines.get(member);
      if (other === undefined) return false;
      const { group, step } = other.register;
      if (!sameBallot(group, register.group)) return false;
      const ended = step > register.step || now >= other.busyUntil;
      return step >= register.step && ended;
    });
  }

  private begin(engine: Engine, now: number): void {
    const { register, member } = engine;
    register.reachStep();
    const { group, inForce, step } = register;
    if (group === null || inForce === undefined) return;
    const { version, map } = inForce;
    const mapHash = hashMap(map);
    this.settings.onStep({ group, member, step, version, mapHash });
    const durationMs = this.work(engine, map, now);
    engine.busyUntil = now + durationMs;
    register.stepMs = durationMs;
    register.step = step + 1;
  }

  /** Longest time of the engine's ranks; publishes their reports. */
  private work(engine: Engine, map: ExpertMap, now: number): number {
    const { register } = engine;
    const { stepMs, tokenMs, speed, demand } = this.settings;
    const tokens = demand(register.step);
    const ranks = ranksOf(register.members, engine.member);
    const durations = ranks.map((rank) => {
      const counts = rankCounts(map, rank, tokens);
      const load = counts.flat().reduce((sum, value) => sum + value, 0);
      const durationMs = stepMs + (load * tokenMs) / speed(rank);
      this.publish(engine, rank, counts, durationMs, now);
      return durationMs;
    });
    return Math.max(stepMs, ...durations);
  }

  private publish(
    engine: Engine,
    rank: number,
    counts: StepReport["counts"],
    durationMs: number,
    now: number,
  ): void {
    const delay = this.settings.reportDelayMs();
    const { group, inForce, step } = engine.register;
    if (delay === undefined || group === null || inForce === undefined) return;
    const { version } = inForce;
    const mapHash = hashMap(inForce.map);
    const report: StepReport = {
      group,
      step,
      rank,
      version,
      mapHash,
      durationMs,
      counts,
    };
    engine.reports.push({ visibleAt: now + durationMs + delay, report });
    if (engine.reports.length > LARGEST_REPORTS) engine.reports.shift();
  }
}

/** Tokens that a rank works on: replicas of an expert share its tokens. */
function rankCounts(
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
