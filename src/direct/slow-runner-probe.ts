/**
 * Probes runners for slowness while the store is unreachable. An entry that has
 * lost only its connection to the store gets no notes about slow ranks; it
 * would continue to send requests to them and so delay the streams of all other
 * entries. A probe costs a connection and a request per runner, so runners are
 * probed only while streams of their service are late.
 */
import { toFailure, type Emit, type Now } from "../internal.js";
import type { PaceNote } from "../membership/slow-runners.js";
import type { RunnerStatement } from "../membership/runner-statement.js";
import type { BackendServer } from "../membership/types.js";

/** A service whose streams are late. */
export interface LateService {
  readonly name: string;
  readonly runners: readonly BackendServer[];
}

/**
 * Ratio of the runner's response time to its usual one. `onStatement`: called
 * with what the runner says of itself in its answer. Throws 1607 or 1903.
 */
export type ReadSlowness = (
  address: string,
  onStatement: (statement: RunnerStatement) => void,
) => Promise<number>;

export interface SlowRunnerProbeOptions {
  readonly now: Now;
  readonly emit: Emit;
  readonly lateServices: () => readonly LateService[];
  readonly slownessOf: ReadSlowness;
  /** A runner has answered a probe. */
  readonly onStatement: (
    runner: BackendServer,
    statement: RunnerStatement,
  ) => void;
  readonly onPaceNote: (note: PaceNote) => void;
}

/** Interval at which late streams are checked for, ms. */
const LATENESS_CHECK_INTERVAL_MS = 250;
/**
 * Interval between two rounds of probes, ms. A note is valid for nine seconds,
 * so the interval only determines how soon a recovered runner is used again.
 */
const PROBE_INTERVAL_MS = 2000;

export class SlowRunnerProbe implements Disposable {
  private timer: NodeJS.Timeout | undefined;
  private lastProbeAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: SlowRunnerProbeOptions) {}

  static create(options: SlowRunnerProbeOptions): SlowRunnerProbe {
    return new SlowRunnerProbe(options);
  }

  onStoreLost(): void {
    this.timer ??= setInterval(() => {
      this.probeIfLate();
    }, LATENESS_CHECK_INTERVAL_MS);
  }

  onStoreRestored(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  [Symbol.dispose](): void {
    this.onStoreRestored();
  }

  private probeIfLate(): void {
    const nowMs = this.options.now();
    if (nowMs - this.lastProbeAtMs < PROBE_INTERVAL_MS) return;
    const lateServices = this.options.lateServices();
    if (lateServices.length === 0) return;
    this.lastProbeAtMs = nowMs;
    for (const { runners } of lateServices) {
      for (const runner of runners) void this.probeRunner(runner);
    }
  }

  private async probeRunner(runner: BackendServer): Promise<void> {
    const { address, startedAtMs } = runner;
    const { emit, onPaceNote, onStatement, slownessOf } = this.options;
    try {
      const slowness = await slownessOf(address, (statement) => {
        onStatement(runner, statement);
      });
      // The note names the known incarnation. If a newer one has responded, its
      // start time isn't known here yet, and the note applies until the next
      // probe replaces it or it expires.
      onPaceNote({ address, slowness, startedAtMs });
    } catch (error) {
      const { message } = toFailure(error, 1607);
      emit(218, { address, reason: message });
    }
  }
}
