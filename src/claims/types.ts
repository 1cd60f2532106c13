/** Claims of calls that may run at most once, and what becomes of them. */
import type { ErrorNumber } from "../internal.js";

/** A call that may not be repeated; keys of two accounts never meet. */
export interface CallIdentity {
  readonly account: string;
  /** UUIDv7 in lower case. */
  readonly key: string;
}

/** The agent that an attempt is bound to. */
export interface AgentChoice {
  readonly agent: string;
  readonly agentIncarnation: string;
}

/** One attempt of a call; it can be started by the named agent only. */
export interface ClaimEntry extends CallIdentity, AgentChoice {
  readonly kind: "claim";
  /** 1 for the first claim of a call, then one more after every release. */
  readonly generation: number;
  readonly attempt: string;
  readonly entry: string;
  readonly entryIncarnation: string;
}

/** Why an attempt can never start. */
export type ReleaseProof =
  /** Its agent wrote a tombstone for it. */
  | "tombstone"
  /** Its agent refused it. */
  | "refused"
  /** Its own entry never dispatched it and never will. */
  | "not-dispatched";

export interface ReleaseEntry extends CallIdentity {
  readonly kind: "release";
  readonly generation: number;
  readonly attempt: string;
  readonly proof: ReleaseProof;
}

/**
 * Ends a call for good: it never ran and never will under its key. Only this
 * makes "not run" true for a key that a caller may have sent elsewhere too.
 */
export interface CloseEntry extends CallIdentity {
  readonly kind: "close";
  readonly generation: number;
  readonly attempt: string;
}

export type ClaimLogEntry = ClaimEntry | ReleaseEntry | CloseEntry;

/** One append: everything that came up at one entry in a short time. */
export interface ClaimBatch {
  readonly kind: "claims";
  /** New for every batch; a repeated append carries it again. */
  readonly nonce: string;
  readonly entries: readonly ClaimLogEntry[];
}

/** What the log says about a call. */
export type ClaimStatus =
  | { readonly kind: "free"; readonly nextGeneration: number }
  | {
      readonly kind: "claimed";
      readonly claim: ClaimEntry;
      /** Log time of the claim, ms since the Unix epoch. */
      readonly claimedAtMs: number;
    }
  | { readonly kind: "closed" }
  /** Records about the call may have been trimmed unread. */
  | { readonly kind: "incomplete" };

/** What an entry of a batch came to, in log order. */
export interface ClaimVerdict {
  readonly entry: ClaimLogEntry;
  readonly result: "won" | "lost" | "released" | "closed" | "stale" | "expired";
}

/** What an agent knows about an attempt that it is asked for. */
export type AttemptAnswer =
  /** Started; its answer can be had from the agent. */
  | { readonly kind: "started" }
  /** Started, but its answer is no longer held. */
  | { readonly kind: "answer-gone" }
  /** Not started so far; it may start at any moment. */
  | { readonly kind: "waiting" }
  /** Not started, and from now on it never will be. */
  | { readonly kind: "tombstoned" }
  /** Too old for the agent to remember. */
  | { readonly kind: "forgotten" }
  /** The agent was restarted since. */
  | { readonly kind: "other-incarnation" }
  /** No answer came. */
  | { readonly kind: "unreachable" };

/** A call as the entry hands it over. */
export interface ClaimRequest extends CallIdentity {
  /** Name of the call inside the entry. */
  readonly call: string;
  /** Whether this entry made the key, so that nobody else can know it. */
  readonly isOwnKey: boolean;
  /** The call gets its refusal then, ms since the Unix epoch. */
  readonly giveUpAtMs: number;
}

/** What the entry has to carry out. */
export type ClaimEffect =
  | {
      readonly kind: "append";
      readonly shard: number;
      readonly batch: ClaimBatch;
    }
  /** The only leave to dispatch: the call's own claim was read back. */
  | {
      readonly kind: "dispatch";
      readonly call: string;
      readonly claim: ClaimEntry;
    }
  | {
      readonly kind: "ask";
      readonly call: string;
      readonly claim: ClaimEntry;
      /** Whether an attempt that has not started is to be ruled out. */
      readonly tombstone: boolean;
    }
  /** The answer of another attempt is this call's answer. */
  | {
      readonly kind: "attach";
      readonly call: string;
      readonly claim: ClaimEntry;
    }
  | {
      readonly kind: "refuse";
      readonly call: string;
      readonly error: ErrorNumber;
    };
