/**
 * The engines of a site's model pool as one lockstep group with a weight store.
 * Running requests get one token per step of their engine, so a straggler slows
 * down every response, as in a real group.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom, type Random, type StepReport } from "../src/internal.js";
import type { EngineStandIn } from "../standins/engine.js";
import {
  EngineGroup,
  defaultEngineGroupSettings,
  type StepRecord,
} from "../standins/engine-group.js";
import {
  createEngineInterface,
  startGroupTimer,
} from "../standins/engine-interface.js";
import type { StandInCall } from "../standins/http.js";
import {
  startWeightStore,
  type WeightStoreStandIn,
} from "../standins/weight-store.js";

export interface SiteGroupOptions {
  readonly layers: number;
  readonly experts: number;
  readonly bytesPerExpert: number;
  readonly seed: number;
}

export interface SkewSample {
  readonly fromStep: number;
  readonly steps: number;
  /** Longest rank time divided by mean rank time, averaged over steps. */
  readonly skew: number;
}

const STEP_MS = 4;
/**
 * With an even map, the tokens of a rank take about as long as the fixed part
 * of a step.
 */
const TOKEN_MS = 0.01;
const TOKENS_PER_LAYER = 1200;
const WEIGHT_STORE_BYTES_PER_SECOND = 4_000_000;
const MAXIMUM_REPORT_DELAY_MS = 60;
const LOST_REPORT_SHARE = 0.05;
const SKEW_SAMPLE_STEPS = 200;
const MINIMUM_SAMPLE_STEPS = 50;
const POLL_INTERVAL_MS = 100;

export class SiteGroup implements AsyncDisposable {
  readonly steps: StepRecord[] = [];
  private readonly group: EngineGroup;
  private readonly engines = new Map<string, EngineStandIn>();
  private readonly stopSteps: () => void;
  /** Number of demand shifts so far. */
  private demandShifts = 0;

  private constructor(
    private readonly options: SiteGroupOptions,
    readonly weightStore: WeightStoreStandIn,
  ) {
    const random = createRandom(options.seed);
    this.group = EngineGroup.create({
      ...defaultEngineGroupSettings,
      bytesPerExpert: options.bytesPerExpert,
      stepMs: STEP_MS,
      tokenMs: TOKEN_MS,
      demand: () => this.demand(random),
      reportDelayMs: () =>
        random() < LOST_REPORT_SHARE
          ? undefined
          : random() * MAXIMUM_REPORT_DELAY_MS,
      onStep: (record) => {
        this.steps.push(record);
        this.engines.get(record.member)?.step();
      },
    });
    this.stopSteps = startGroupTimer(this.group);
  }

  static async create(options: SiteGroupOptions): Promise<SiteGroup> {
    const store = await startWeightStore({
      bytesPerExpert: options.bytesPerExpert,
      bytesPerSecond: WEIGHT_STORE_BYTES_PER_SECOND,
    });
    return new SiteGroup(options, store);
  }

  /** Makes other experts the most loaded ones. */
  shiftDemand(): void {
    this.demandShifts += 1;
  }

  /** Adds an engine; returns the handler of its group endpoints. */
  addEngine(member: string): (call: StandInCall) => Promise<boolean> {
    this.group.start(member);
    const group = this.group;
    return createEngineInterface({ group, member, checksFencing: false })
      .handleCall;
  }

  attachEngine(member: string, engine: EngineStandIn): void {
    this.engines.set(member, engine);
  }

  /** Rank steps on another map than the first rank used in that step. */
  countMixedSteps(): number {
    const maps = new Map<string, string>();
    return this.steps.filter(({ group, step, mapHash }) => {
      const key = `${group.number}/${group.author}/${step}`;
      const first = maps.get(key) ?? mapHash;
      maps.set(key, first);
      return first !== mapHash;
    }).length;
  }

  /** Map versions that the group used, in order. */
  versions(): readonly number[] {
    return [...new Set(this.steps.map(({ version }) => version))];
  }

  /** Skew over the most recent steps that every rank has reported. */
  skew(): SkewSample {
    const reports = [...this.engines.keys()].flatMap((member) => [
      ...this.group.reports(member, 0, Date.now()),
    ]);
    const byStep = new Map<number, StepReport[]>();
    for (const report of reports) {
      byStep.set(report.step, [...(byStep.get(report.step) ?? []), report]);
    }
    const whole = [...byStep]
      .filter(([, items]) => items.length === this.engines.size)
      .sort(([a], [b]) => a - b)
      .slice(-SKEW_SAMPLE_STEPS);
    const skews = whole.map(([, items]) => skewOf(items));
    const sum = skews.reduce((total, skew) => total + skew, 0);
    const fromStep = whole.at(0)?.[0] ?? 0;
    return {
      fromStep,
      steps: whole.length,
      skew: sum / Math.max(1, skews.length),
    };
  }

  /** Waits for enough reports and returns the skew of the initial map. */
  async waitForSkew(): Promise<SkewSample> {
    for (;;) {
      const sample = this.skew();
      if (sample.steps >= MINIMUM_SAMPLE_STEPS) return sample;
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopSteps();
    await this.weightStore[Symbol.asyncDispose]();
  }

  /** Zipf-like demand per layer with up to 5% noise. */
  private demand(random: Random): number[][] {
    const { layers, experts } = this.options;
    const popularityRanks = Array.from(
      { length: experts },
      (_, index) => index,
    );
    const weights = popularityRanks.map((rank) => 1 / (1 + rank));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return Array.from({ length: layers }, (_, layer) =>
      popularityRanks.map((expert) => {
        const shifted = (expert + 5 * layer + 11 * this.demandShifts) % experts;
        const noise = 0.95 + 0.1 * random();
        return (TOKENS_PER_LAYER * weights[shifted] * noise) / total;
      }),
    );
  }
}

function skewOf(reports: readonly StepReport[]): number {
  const times = reports.map(({ durationMs }) => durationMs);
  const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
  return Math.max(...times) / mean;
}
