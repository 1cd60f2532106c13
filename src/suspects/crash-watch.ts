/**
 * Finds out whether a lost run was lost to a crash of its backend server. A
 * connection that ends without an answer doesn't tell: it may have been reset on
 * the way, and in a group the streams of all ranks break when one crashes. The
 * server that crashed is the one whose port is closed then, that a refusal names,
 * or that has started again.
 */
import type { Emit, Now } from "../internal.js";
import type { SuspectRequests } from "./suspect-requests.js";

/** What listens at an address. */
export type PortState = "open" | "closed" | "silent";

export interface WatchedRunner {
  readonly id: string;
  /** host:port */
  readonly address: string;
}

export interface LostRun {
  readonly digest: string;
  /** Unix ms. */
  readonly sentAtMs: number;
}

export interface CrashWatchOptions {
  /** Unix ms. */
  readonly now: Now;
  readonly emit: Emit;
  readonly suspects: SuspectRequests;
  readonly portState: (address: string) => Promise<PortState>;
  /** There is something to tell the other entries. */
  readonly onEvidence: () => void;
}

interface PendingRun extends LostRun {
  readonly lostAtMs: number;
}

/**
 * A crash shows within this time, ms: the other ranks wait for the one that is
 * gone for a second or two before they refuse, and servers take seconds to start.
 */
export const PENDING_MS = 6000;

export class CrashWatch {
  /** Lost runs by the id of their server. */
  private readonly pending = new Map<string, readonly PendingRun[]>();
  private readonly looks = new Map<string, Promise<PortState>>();

  private constructor(private readonly options: CrashWatchOptions) {}

  static create(options: CrashWatchOptions): CrashWatch {
    return new CrashWatch(options);
  }

  /**
   * The run was lost with its connection. Resolves once it is known whether the
   * server's port is closed, before the request is run anywhere else.
   */
  async onLost(runner: WatchedRunner, run: LostRun): Promise<void> {
    const lostAtMs = this.options.now();
    const known = this.pendingAt(runner.id);
    this.pending.set(runner.id, [...known, { ...run, lostAtMs }]);
    const state = await this.look(runner);
    if (state === "closed") this.onCrashed(runner.id);
    if (state === "open") this.pending.delete(runner.id);
  }

  /** The server is named for the fault, has started again, or is gone. */
  onCrashed(runner: string): void {
    const { suspects, emit, onEvidence } = this.options;
    const lost = this.pendingAt(runner);
    this.pending.delete(runner);
    if (lost.length === 0) return;
    for (const { digest, sentAtMs, lostAtMs } of lost) {
      suspects.noteCrash(digest, { runner, sentAtMs, lostAtMs });
    }
    const digests = [...new Set(lost.map(({ digest }) => digest))];
    const withheld = digests.filter((one) => suspects.isWithheld(one)).length;
    emit(231, { runner, suspects: digests.length, withheld });
    onEvidence();
  }

  private pendingAt(runner: string): readonly PendingRun[] {
    const sinceMs = this.options.now() - PENDING_MS;
    const pending = this.pending.get(runner) ?? [];
    return pending.filter(({ lostAtMs }) => lostAtMs > sinceMs);
  }

  /** One look for all runs that are lost there at the same time. */
  private async look({ id, address }: WatchedRunner): Promise<PortState> {
    const begun = this.looks.get(id);
    if (begun !== undefined) return begun;
    const look = this.options.portState(address);
    this.looks.set(id, look);
    try {
      return await look;
    } finally {
      this.looks.delete(id);
    }
  }
}
