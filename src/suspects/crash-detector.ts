/**
 * Detects whether a run was lost because its backend server crashed. A
 * connection that ends without a response doesn't show that: it may have been
 * reset on the way, and in a group the streams of all ranks break when one
 * crashes. The crashed server is the one whose port is closed, that a refusal
 * names as faulty, or that has restarted.
 */
import type { Emit, Now } from "../internal.js";
import type { SuspectParts } from "./suspect-parts.js";
import type { SuspectRequests } from "./suspect-requests.js";

/** Result of a connection attempt; `silent`: no response within the timeout. */
export type PortState = "open" | "closed" | "silent";

export interface WatchedRunner {
  readonly id: string;
  /** host:port */
  readonly address: string;
}

export interface LostRun {
  readonly digest: string;
  /** Digests of the prompt's parts that other requests may share. */
  readonly parts: readonly string[];
  /** Unix ms. */
  readonly sentAtMs: number;
}

export interface CrashDetectorOptions {
  /** Unix ms. */
  readonly now: Now;
  readonly emit: Emit;
  readonly suspects: SuspectRequests;
  readonly parts: SuspectParts;
  readonly portState: (address: string) => Promise<PortState>;
  /** Called when there is new evidence to share with the other entries. */
  readonly onEvidence: () => void;
}

interface PendingRun extends LostRun {
  readonly lostAtMs: number;
}

/**
 * How long a lost run waits for evidence of a crash, ms. The other ranks wait
 * one or two seconds for a missing rank before they refuse requests, and
 * servers take seconds to start.
 */
export const DETECTION_WINDOW_MS = 6000;

export class CrashDetector {
  /** Lost runs by the id of their server. */
  private readonly pending = new Map<string, readonly PendingRun[]>();
  private readonly probes = new Map<string, Promise<PortState>>();

  private constructor(private readonly options: CrashDetectorOptions) {}

  static create(options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options);
  }

  /**
   * The run was lost with its connection. Resolves once it is known whether the
   * server's port is closed; the request must not be run elsewhere before that.
   */
  async onLost(runner: WatchedRunner, run: LostRun): Promise<void> {
    const lostAtMs = this.options.now();
    const known = this.pendingAt(runner.id);
    this.pending.set(runner.id, [...known, { ...run, lostAtMs }]);
    const state = await this.probe(runner);
    if (state === "closed") this.onCrashed(runner.id);
    if (state === "open") this.pending.delete(runner.id);
  }

  /** The server was reported as faulty, has restarted or is gone. */
  onCrashed(runner: string): void {
    const { suspects, parts: suspectParts, emit, onEvidence } = this.options;
    const lost = this.pendingAt(runner);
    this.pending.delete(runner);
    if (lost.length === 0) return;
    for (const { digest, parts, sentAtMs, lostAtMs } of lost) {
      const run = { runner, sentAtMs, lostAtMs };
      suspectParts.addOwnRun({ ...run, request: digest, parts });
      suspects.addOwnRun(digest, run);
    }
    const digests = [...new Set(lost.map(({ digest }) => digest))];
    const withheld = digests.filter((one) => suspects.isWithheld(one)).length;
    emit(231, {
      runner,
      suspects: digests.length,
      withheld,
      samePart: suspectParts.mostCrashesOf(lost.flatMap(({ parts }) => parts)),
    });
    onEvidence();
  }

  private pendingAt(runner: string): readonly PendingRun[] {
    const sinceMs = this.options.now() - DETECTION_WINDOW_MS;
    const pending = this.pending.get(runner) ?? [];
    return pending.filter(({ lostAtMs }) => lostAtMs > sinceMs);
  }

  /** Concurrent losses at one server share one probe. */
  private async probe({ id, address }: WatchedRunner): Promise<PortState> {
    const pending = this.probes.get(id);
    if (pending !== undefined) return pending;
    const probe = this.options.portState(address);
    this.probes.set(id, probe);
    try {
      return await probe;
    } finally {
      this.probes.delete(id);
    }
  }
}
