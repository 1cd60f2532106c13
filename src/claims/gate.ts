/**
 * The agent's last word on attempts that may run at most once. An attempt is
 * started once; one that was refused or ruled out by a tombstone never is. An
 * entry that wakes from a long pause meets it here, whatever it believes.
 */
import { CLOCK_SKEW_MS, keyTime } from "./keys.js";
import type { AttemptAnswer } from "./types.js";

/** Older attempts (by the time in their id) are no longer started. */
export const OLDEST_START_MS = 600_000;

/**
 * What is remembered of an attempt outlives its start by more than the skew of
 * the clocks, so that "not started" is never said of a forgotten one.
 */
const MEMORY_MS = OLDEST_START_MS + 4 * CLOCK_SKEW_MS;

const FORGET_PASS_MS = 10_000;

/** Who asks for which attempt. */
export interface AttemptQuestion {
  readonly agentIncarnation: string;
  readonly attempt: string;
  readonly account: string;
  /** Whether an attempt that has not started is to be ruled out. */
  readonly tombstone: boolean;
}

export type StartVerdict = "start" | "tombstoned" | "started-before" | "stale";

interface AttemptRecord {
  readonly state: "started" | "tombstoned";
  readonly account: string;
  readonly sinceMs: number;
  /** Whether the answer is still held for a repeat. */
  readonly isHeld: boolean;
}

export interface ClaimGateRules {
  readonly honoursTombstones: boolean;
  readonly checksIncarnation: boolean;
}

export const claimGateRules: ClaimGateRules = {
  honoursTombstones: true,
  checksIncarnation: true,
};

export class ClaimGate {
  private readonly attempts = new Map<string, AttemptRecord>();
  private forgottenAtMs = 0;

  private constructor(
    private readonly incarnation: string,
    private readonly rules: ClaimGateRules,
  ) {}

  static create(
    incarnation: string,
    rules: ClaimGateRules = claimGateRules,
  ): ClaimGate {
    return new ClaimGate(incarnation, rules);
  }

  /** To be asked right before the start, which has to follow on "start". */
  tryStart(attempt: string, account: string, nowMs: number): StartVerdict {
    this.forgetOld(nowMs);
    const known = this.attempts.get(attempt);
    if (known?.state === "started") return "started-before";
    if (known !== undefined && this.rules.honoursTombstones) {
      return "tombstoned";
    }
    // What was known of it may be forgotten.
    if (nowMs - keyTime(attempt) > OLDEST_START_MS) return "stale";
    this.remember(attempt, "started", account, nowMs);
    return "start";
  }

  /** The agent refuses the attempt for another reason: it never starts. */
  refuse(attempt: string, account: string, nowMs: number): void {
    if (this.attempts.has(attempt)) return;
    this.remember(attempt, "tombstoned", account, nowMs);
  }

  /** The answer of a started attempt can no longer be given. */
  dropAnswer(attempt: string): void {
    const known = this.attempts.get(attempt);
    if (known !== undefined) {
      this.attempts.set(attempt, { ...known, isHeld: false });
    }
  }

  answer(question: AttemptQuestion, nowMs: number): AttemptAnswer {
    const { agentIncarnation, attempt, account, tombstone } = question;
    // Another incarnation may have started it before this one came up.
    const isOther = agentIncarnation !== this.incarnation;
    if (isOther && this.rules.checksIncarnation) {
      return { kind: "other-incarnation" };
    }
    this.forgetOld(nowMs);
    const known = this.attempts.get(attempt);
    if (known !== undefined) return describe(known, account);
    const ageMs = nowMs - keyTime(attempt);
    if (ageMs > OLDEST_START_MS + 2 * CLOCK_SKEW_MS) {
      return { kind: "forgotten" };
    }
    if (!tombstone) return { kind: "waiting" };
    this.remember(attempt, "tombstoned", account, nowMs);
    return { kind: "tombstoned" };
  }

  private remember(
    attempt: string,
    state: AttemptRecord["state"],
    account: string,
    sinceMs: number,
  ): void {
    const isHeld = state === "started";
    this.attempts.set(attempt, { state, account, sinceMs, isHeld });
  }

  /** In the order of insertion, which is the order of time. */
  private forgetOld(nowMs: number): void {
    if (nowMs < this.forgottenAtMs + FORGET_PASS_MS) return;
    this.forgottenAtMs = nowMs;
    for (const [attempt, { sinceMs }] of this.attempts) {
      const keptUntilMs = Math.max(sinceMs, keyTime(attempt)) + MEMORY_MS;
      if (keptUntilMs < nowMs) this.attempts.delete(attempt);
    }
  }
}

function describe(known: AttemptRecord, account: string): AttemptAnswer {
  // Attempt ids are no secret; an answer goes to its own account only.
  if (known.account !== account) return { kind: "forgotten" };
  if (known.state === "tombstoned") return { kind: "tombstoned" };
  return known.isHeld ? { kind: "started" } : { kind: "answer-gone" };
}
