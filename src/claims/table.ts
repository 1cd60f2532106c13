/**
 * What one shard of the claim log says: a deterministic function of its
 * records. The first claim of a generation in log order wins. Generations make
 * repeated and late appends harmless: the copy of a claim that was released
 * meets a later generation, and so does a release that comes too late.
 */
import type { LogRecord } from "../internal.js";
import { decodeClaimBatch } from "./codec.js";
import { CLOCK_SKEW_MS, KEY_WINDOW_MS, keyTime } from "./keys.js";
import type {
  CallIdentity,
  ClaimEntry,
  ClaimLogEntry,
  ClaimStatus,
  ClaimVerdict,
  CloseEntry,
  ReleaseEntry,
} from "./types.js";

/**
 * The platform keeps records at least this long: what was trimmed unread was
 * appended earlier.
 */
export const MINIMUM_RETENTION_MS = 600_000;

/** A log clock that steps back by less than this does no harm. */
const FORGET_MARGIN_MS = 600_000;

/** A pass over all calls is dear, so it is made seldom. */
const FORGET_PASS_MS = 10_000;

interface CallRecord {
  readonly generation: number;
  /** Absent after a release. */
  readonly claim: ClaimEntry | undefined;
  readonly claimedAtMs: number;
  readonly isClosed: boolean;
}

/** The decisions that keep a call from running twice; see ClaimTable. */
export interface ClaimRules {
  /** Whether a claim may follow what is known of its call. */
  readonly isNextGeneration: (
    claim: ClaimEntry,
    generation: number,
    isClaimed: boolean,
  ) => boolean;
  /** Whether a release or a close is of the claim in force. */
  readonly fits: (
    ending: ReleaseEntry | CloseEntry,
    claim: ClaimEntry,
  ) => boolean;
  /** Whether the log took the claim while its key was young enough. */
  readonly isInWindow: (key: string, appendedAtMs: number) => boolean;
  /** Whether all records of a key were read. */
  readonly isComplete: (key: string, completeSinceMs: number) => boolean;
}

export const claimRules: ClaimRules = {
  isNextGeneration: (claim, generation, isClaimed) =>
    !isClaimed && claim.generation === generation + 1,
  fits: (ending, claim) =>
    ending.generation === claim.generation && ending.attempt === claim.attempt,
  // A claim appended after every reader forgot the key would look like the
  // first one of a new call.
  isInWindow: (key, appendedAtMs) => {
    const ageMs = appendedAtMs - keyTime(key);
    return ageMs <= KEY_WINDOW_MS && ageMs >= -CLOCK_SKEW_MS;
  },
  // No valid claim is older than its key, but for the skew of the clocks.
  isComplete: (key, completeSinceMs) =>
    keyTime(key) - CLOCK_SKEW_MS >= completeSinceMs,
};

export class ClaimTable {
  private readonly calls = new Map<string, CallRecord>();
  private next = 0;
  private completeSinceMs = Number.NEGATIVE_INFINITY;
  private latestAppendMs = Number.NEGATIVE_INFINITY;
  private forgottenAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly rules: ClaimRules) {}

  static create(rules: ClaimRules = claimRules): ClaimTable {
    return new ClaimTable(rules);
  }

  /** First offset that was not applied yet. */
  get nextOffset(): number {
    return this.next;
  }

  /** Calls held in memory. */
  get size(): number {
    return this.calls.size;
  }

  /**
   * To be called with the start offset of every read, before its records.
   * Records between the last one read and the start are lost unread.
   */
  skipTrimmed(startOffset: number, nowMs: number): void {
    if (startOffset <= this.next) return;
    this.next = startOffset;
    this.completeSinceMs = nowMs - MINIMUM_RETENTION_MS + CLOCK_SKEW_MS;
  }

  apply(record: LogRecord): readonly ClaimVerdict[] {
    if (record.offset < this.next) return [];
    this.next = record.offset + 1;
    const { appendedAtMs } = record;
    this.latestAppendMs = Math.max(this.latestAppendMs, appendedAtMs);
    this.forgetOld();
    const entries = decodeClaimBatch(record.data)?.entries ?? [];
    return entries.map((entry) => ({
      entry,
      result: this.applyEntry(entry, appendedAtMs),
    }));
  }

  status(identity: CallIdentity): ClaimStatus {
    if (!this.rules.isComplete(identity.key, this.completeSinceMs)) {
      return { kind: "incomplete" };
    }
    const known = this.calls.get(nameOf(identity));
    if (known?.isClosed === true) return { kind: "closed" };
    if (known?.claim === undefined) {
      return { kind: "free", nextGeneration: (known?.generation ?? 0) + 1 };
    }
    const { claim, claimedAtMs } = known;
    return { kind: "claimed", claim, claimedAtMs };
  }

  private applyEntry(
    entry: ClaimLogEntry,
    appendedAtMs: number,
  ): ClaimVerdict["result"] {
    return entry.kind === "claim"
      ? this.applyClaim(entry, appendedAtMs)
      : this.applyEnding(entry);
  }

  private applyClaim(
    claim: ClaimEntry,
    appendedAtMs: number,
  ): ClaimVerdict["result"] {
    if (!this.rules.isInWindow(claim.key, appendedAtMs)) return "expired";
    const name = nameOf(claim);
    const known = this.calls.get(name);
    if (known?.isClosed === true) return "lost";
    if (known?.claim?.attempt === claim.attempt) return "won";
    const generation = known?.generation ?? 0;
    const isClaimed = known?.claim !== undefined;
    if (!this.rules.isNextGeneration(claim, generation, isClaimed)) {
      return "lost";
    }
    this.calls.set(name, {
      generation: claim.generation,
      claim,
      claimedAtMs: appendedAtMs,
      isClosed: false,
    });
    return "won";
  }

  private applyEnding(
    ending: ReleaseEntry | CloseEntry,
  ): ClaimVerdict["result"] {
    const name = nameOf(ending);
    const known = this.calls.get(name);
    if (known?.claim === undefined || known.isClosed) return "stale";
    if (!this.rules.fits(ending, known.claim)) return "stale";
    const isClosed = ending.kind === "close";
    this.calls.set(name, {
      ...known,
      claim: isClosed ? known.claim : undefined,
      isClosed,
    });
    return isClosed ? "closed" : "released";
  }

  private forgetOld(): void {
    if (this.latestAppendMs < this.forgottenAtMs + FORGET_PASS_MS) return;
    this.forgottenAtMs = this.latestAppendMs;
    const limitMs = this.latestAppendMs - KEY_WINDOW_MS - FORGET_MARGIN_MS;
    for (const name of this.calls.keys()) {
      if (keyTime(name.slice(name.indexOf("\n") + 1)) < limitMs) {
        this.calls.delete(name);
      }
    }
  }
}

function nameOf({ account, key }: CallIdentity): string {
  return `${account}\n${key}`;
}
