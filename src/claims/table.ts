/**
 * State of one shard of the claim log, a deterministic function of its records.
 * The first claim of a generation in log order wins. Generations make repeated
 * and late appends harmless: a copy of a released claim has an outdated
 * generation, and so has a release that arrives late.
 */
import type { LogRecord } from "../internal.js";
import { decodeClaimBatch } from "./codec.js";
import { CLOCK_SKEW_MS, KEY_WINDOW_MS, keyTimestampMs } from "./keys.js";
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
 * The platform retains records at least this long, so any record that was
 * trimmed unread is older.
 */
export const MINIMUM_RETENTION_MS = 600_000;

/** Extra retention; tolerates a log clock that steps back by less than this. */
const EXPIRY_MARGIN_MS = 600_000;

/** Each expiry scans all calls, which is too expensive for every record. */
const EXPIRY_INTERVAL_MS = 10_000;

interface CallRecord {
  readonly generation: number;
  /** Undefined after a release. */
  readonly claim: ClaimEntry | undefined;
  readonly claimedAtMs: number;
  readonly isClosed: boolean;
}

/** Rules of the table that prevent a call from running twice. */
export interface ClaimRules {
  /** Whether the claim has the generation that follows the last one. */
  readonly isNextGeneration: (
    claim: ClaimEntry,
    generation: number,
    isClaimed: boolean,
  ) => boolean;
  /** Whether a release or close refers to the claim in force. */
  readonly matchesClaim: (
    ending: ReleaseEntry | CloseEntry,
    claim: ClaimEntry,
  ) => boolean;
  /** Whether the claim was appended within the key's window. */
  readonly isInWindow: (key: string, appendedAtMs: number) => boolean;
  /** Whether all records of the key were read. */
  readonly isComplete: (key: string, completeSinceMs: number) => boolean;
}

export const claimRules: ClaimRules = {
  isNextGeneration: (claim, generation, isClaimed) =>
    !isClaimed && claim.generation === generation + 1,
  matchesClaim: (ending, claim) =>
    ending.generation === claim.generation && ending.attempt === claim.attempt,
  // A claim appended after every reader has expired the key would look like the
  // first claim of a new call.
  isInWindow: (key, appendedAtMs) => {
    const ageMs = appendedAtMs - keyTimestampMs(key);
    return ageMs <= KEY_WINDOW_MS && ageMs >= -CLOCK_SKEW_MS;
  },
  // Apart from clock skew, no valid claim is older than its key.
  isComplete: (key, completeSinceMs) =>
    keyTimestampMs(key) - CLOCK_SKEW_MS >= completeSinceMs,
};

export class ClaimTable {
  private readonly calls = new Map<string, CallRecord>();
  private firstUnappliedOffset = 0;
  private completeSinceMs = Number.NEGATIVE_INFINITY;
  private latestAppendMs = Number.NEGATIVE_INFINITY;
  private lastExpiryAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly rules: ClaimRules) {}

  static create(rules: ClaimRules = claimRules): ClaimTable {
    return new ClaimTable(rules);
  }

  /** First offset that isn't applied yet. */
  get nextOffset(): number {
    return this.firstUnappliedOffset;
  }

  /** Number of calls held in memory. */
  get size(): number {
    return this.calls.size;
  }

  /**
   * Must be called with the start offset of every read, before its records are
   * applied. Records between the last applied one and this offset were trimmed
   * unread.
   */
  skipTrimmed(startOffset: number, nowMs: number): void {
    if (startOffset <= this.firstUnappliedOffset) return;
    this.firstUnappliedOffset = startOffset;
    this.completeSinceMs = nowMs - MINIMUM_RETENTION_MS + CLOCK_SKEW_MS;
  }

  apply(record: LogRecord): readonly ClaimVerdict[] {
    if (record.offset < this.firstUnappliedOffset) return [];
    this.firstUnappliedOffset = record.offset + 1;
    const { appendedAtMs } = record;
    this.latestAppendMs = Math.max(this.latestAppendMs, appendedAtMs);
    this.expireOldCalls();
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
    const known = this.calls.get(callKey(identity));
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
    const name = callKey(claim);
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
    const name = callKey(ending);
    const known = this.calls.get(name);
    if (known?.claim === undefined || known.isClosed) return "stale";
    if (!this.rules.matchesClaim(ending, known.claim)) return "stale";
    const isClosed = ending.kind === "close";
    this.calls.set(name, {
      ...known,
      claim: isClosed ? known.claim : undefined,
      isClosed,
    });
    return isClosed ? "closed" : "released";
  }

  private expireOldCalls(): void {
    if (this.latestAppendMs < this.lastExpiryAtMs + EXPIRY_INTERVAL_MS) return;
    this.lastExpiryAtMs = this.latestAppendMs;
    const limitMs = this.latestAppendMs - KEY_WINDOW_MS - EXPIRY_MARGIN_MS;
    for (const name of this.calls.keys()) {
      if (keyTimestampMs(name.slice(name.indexOf("\n") + 1)) < limitMs) {
        this.calls.delete(name);
      }
    }
  }
}

function callKey({ account, key }: CallIdentity): string {
  return `${account}\n${key}`;
}
