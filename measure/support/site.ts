/**
 * Simulates a site: entries reach runners with agents over a network with
 * delays. Load reports and cache events arrive late, and some cache events are
 * lost.
 */
import {
  AgentLimit,
  createRandom,
  type PlacementChoice,
  type PlacedRequest,
  type PlacementRequest,
  type Random,
  type RunnerDescription,
} from "../../src/internal.js";
import type { Chooser, CreateChooser } from "./choosers.js";
import { RunnerModel, type JobResult } from "./runner-model.js";
import { VirtualClock } from "./virtual-clock.js";
import { BLOCK_TOKENS, type Call } from "./workload.js";

export interface SiteSettings {
  readonly seed: number;
  readonly runners: number;
  readonly slots: number;
  readonly entries: number;
  readonly chooser: CreateChooser;
  /** Period of an agent's load reports. */
  readonly reportMs: number;
  /** Delay until a report arrives. */
  readonly reportLagMs: number;
  readonly cacheLagMs: number;
  /** Fraction of the cache events that is lost. */
  readonly cacheLoss: number;
  readonly cacheBlocks: number;
  /**
   * Requests that an agent accepts beyond its slots, as a fraction of them; no
   * limit if absent.
   */
  readonly queueShare?: number;
}

export const POOL = "model";
export const PREFILL_MS_PER_TOKEN = 0.05;
export const STEP_MS = 5;
export const DATA_CENTRES = ["caerdydd", "abertawe", "casnewydd"] as const;
/** One-way network delay between data centres. */
const CROSS_DATA_CENTRE_DELAY_MS = 0.5;
const CAPACITY_TICK_INTERVAL_MS = 100;

export interface Attempt {
  readonly call: Call;
  readonly placed: PlacedRequest;
  readonly onStarted?: () => void;
  readonly onFirstToken: () => void;
  readonly onEnded: (result: JobResult) => void;
  readonly onFailed: () => void;
  /** Called if the agent is full and the attempt never started. */
  readonly onRefused: () => void;
}

export class Site {
  readonly clock = VirtualClock.create();
  readonly runners: readonly RunnerModel[];
  readonly descriptions: readonly RunnerDescription[];
  readonly choosers: readonly Chooser[];
  readonly random: Random;
  /** Slot time that the runners have had available so far. */
  capacityMs = 0;
  /** Attempts that reached an agent. */
  attempts = 0;
  private readonly limits: readonly (AgentLimit | undefined)[];
  private readonly runnerIndexes: ReadonlyMap<string, number>;

  private constructor(readonly settings: SiteSettings) {
    this.random = createRandom(settings.seed);
    const indexes = Array.from(
      { length: settings.runners },
      (_, index) => index,
    );
    this.descriptions = indexes.map((index) => describeRunner(index, settings));
    this.runnerIndexes = new Map(
      indexes.map((index) => [`runner-${index}`, index]),
    );
    this.choosers = Array.from({ length: settings.entries }, (_, entry) =>
      this.createChooser(entry),
    );
    this.runners = this.descriptions.map(({ runner }) =>
      this.createRunner(runner),
    );
    const { slots, queueShare } = settings;
    this.limits = indexes.map(() =>
      queueShare === undefined
        ? undefined
        : AgentLimit.create({ slots, queueShare }),
    );
    this.reportLoads();
    this.clock.scheduleEvery(CAPACITY_TICK_INTERVAL_MS, 0, () => {
      this.addCapacity();
    });
  }

  static create(settings: SiteSettings): Site {
    return new Site(settings);
  }

  /**
   * Sends a placed request to its runner and notifies the chooser of its end.
   */
  send(entry: number, attempt: Attempt): void {
    const { placed, call } = attempt;
    const chooser = this.choosers[entry];
    const index = this.runnerIndexes.get(placed.choice.runner) ?? 0;
    const delayMs = this.delayMs(entry, index);
    const afterReturnDelay = (event: () => void): void => {
      this.clock.schedule(delayMs, event);
    };
    chooser.onStarted(placed);
    this.clock.schedule(delayMs, () => {
      this.attempts += 1;
      const limit = this.limits[index];
      if (limit?.tryAcquire(call.priority, `entry-${entry}`) === false) {
        afterReturnDelay(() => {
          chooser.onRefused(placed);
          attempt.onRefused();
        });
        return;
      }
      this.runners[index].submit({
        ...call,
        cacheTransferMs: cacheTransferMs(placed),
        onStarted: () => attempt.onStarted?.(),
        onFirstToken: () => {
          afterReturnDelay(attempt.onFirstToken);
        },
        onEnded: (result) => {
          limit?.release(`entry-${entry}`);
          afterReturnDelay(() => {
            chooser.onEnded(placed, result.serviceMs, result.cachedTokens);
            attempt.onEnded(result);
          });
        },
        onFailed: () => {
          limit?.release(`entry-${entry}`);
          afterReturnDelay(() => {
            chooser.onFailed(placed);
            attempt.onFailed();
          });
        },
      });
    });
  }

  choose(entry: number, request: PlacementRequest): PlacementChoice {
    return this.choosers[entry].choose(request).unsafeCoerce();
  }

  dataCentreOf(index: number): string {
    return DATA_CENTRES[index % DATA_CENTRES.length];
  }

  private addCapacity(): void {
    for (const { isDown, slowdown } of this.runners) {
      if (isDown) continue;
      this.capacityMs +=
        (CAPACITY_TICK_INTERVAL_MS * this.settings.slots) / slowdown;
    }
  }

  private createChooser(entry: number): Chooser {
    return this.settings.chooser({
      now: () => this.clock.nowMs,
      random: createRandom(this.settings.seed * 1000 + entry),
      runners: this.descriptions,
      dataCentre: this.dataCentreOf(entry),
      settings: {
        blockTokens: BLOCK_TOKENS,
        prefillMsPerToken: PREFILL_MS_PER_TOKEN,
        stepMs: STEP_MS,
        queueShare: this.settings.queueShare ?? 0.25,
      },
    });
  }

  private createRunner(name: string): RunnerModel {
    const { slots, cacheBlocks, cacheLagMs, cacheLoss } = this.settings;
    const settings = {
      name,
      slots,
      prefillMsPerToken: PREFILL_MS_PER_TOKEN,
      stepMs: STEP_MS,
      blockTokens: BLOCK_TOKENS,
      cacheBlocks,
    };
    return RunnerModel.create(settings, this.clock, (event) => {
      if (this.random() < cacheLoss) return;
      this.clock.schedule(cacheLagMs, () => {
        for (const chooser of this.choosers) chooser.onCacheEvent(event);
      });
    });
  }

  private reportLoads(): void {
    const { reportMs, reportLagMs } = this.settings;
    for (const runner of this.runners) {
      this.clock.scheduleEvery(reportMs, this.random() * reportMs, () => {
        const load = { ...runner.load, ageMs: reportLagMs };
        this.clock.schedule(reportLagMs, () => {
          for (const chooser of this.choosers) {
            chooser.onReport(runner.settings.name, load);
          }
        });
      });
    }
  }

  private delayMs(entry: number, runner: number): number {
    return this.dataCentreOf(entry) === this.dataCentreOf(runner)
      ? 0
      : CROSS_DATA_CENTRE_DELAY_MS;
  }
}

export function placementRequest(
  call: Call,
  outputTokens: number,
  excluded: readonly string[],
): PlacementRequest {
  const { promptTokens, prefix, priority } = call;
  const pool = POOL;
  return { pool, priority, promptTokens, outputTokens, prefix, excluded };
}

function describeRunner(
  index: number,
  { slots }: SiteSettings,
): RunnerDescription {
  return {
    runner: `runner-${index}`,
    group: `group-${index >> 2}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
    pools: [POOL],
    adapters: [],
    slots,
  };
}

/** A KV cache transfer replaces the prefill and takes its predicted time. */
function cacheTransferMs({ request, choice }: PlacedRequest): number {
  if (choice.importFrom === undefined) return 0;
  return Math.max(1, choice.nominalMs - request.outputTokens * STEP_MS);
}
