/** Types of claims, which make a non-repeatable call run at most once. */
import type { ErrorNumber } from "../internal.js";

/** Identity of a non-repeatable call; each account has its own key space. */
export interface CallIdentity {
  readonly account: string;
  /** UUIDv7 in lower case. */
  readonly key: string;
}

/** The agent incarnation that an attempt is bound to. */
export interface AgentChoice {
  readonly agent: string;
  readonly agentIncarnation: string;
}

/** Claims a call for one attempt, which only the named agent may start. */
export interface ClaimEntry extends CallIdentity, AgentChoice {
  readonly kind: "claim";
  /** 1 for the first claim of a call, incremented after every release. */
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
  /** Its entry never dispatched it and never will. */
  | "not-dispatched";

export interface ReleaseEntry extends CallIdentity {
  readonly kind: "release";
  readonly generation: number;
  readonly attempt: string;
  readonly proof: ReleaseProof;
}

/**
 * Closes the key of a call that never ran: no attempt can start under it any
 * more. Required before "not run" may be answered for a caller's key, because
 * the caller may have sent it to another entry as well.
 */
export interface CloseEntry extends CallIdentity {
  readonly kind: "close";
  readonly generation: number;
  readonly attempt: string;
}

export type ClaimLogEntry = ClaimEntry | ReleaseEntry | CloseEntry;

/** One append: the entries that were queued since the previous one. */
export interface ClaimBatch {
  readonly kind: "claims";
  /** Unique to each batch; identifies the append that an answer is for. */
  readonly nonce: string;
  readonly entries: readonly ClaimLogEntry[];
}

/** Status of a call according to the log. */
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

/** Result of applying one entry of a batch, in log order. */
export interface ClaimVerdict {
  readonly entry: ClaimLogEntry;
  readonly result: "won" | "lost" | "released" | "closed" | "stale" | "expired";
}

/** An agent's answer to a query about an attempt. */
export type AttemptAnswer =
  /** Started; the agent can deliver its answer. */
  | { readonly kind: "started" }
  /** Started, but the agent no longer holds its answer. */
  | { readonly kind: "answer-gone" }
  /** Not started yet; it may still start. */
  | { readonly kind: "waiting" }
  /** Not started; a tombstone prevents it from starting. */
  | { readonly kind: "tombstoned" }
  /** Too old; the agent has discarded its state. */
  | { readonly kind: "forgotten" }
  /** The agent was restarted after the claim. */
  | { readonly kind: "other-incarnation" }
  /** No answer came. */
  | { readonly kind: "unreachable" };

/** A call that the entry passes to the coordinator. */
export interface ClaimRequest extends CallIdentity {
  /** Id of the call within the entry. */
  readonly call: string;
  /** Whether this entry generated the key, so that no other entry has it. */
  readonly isOwnKey: boolean;
  /** When the call is refused if still undecided, ms since the Unix epoch. */
  readonly giveUpAtMs: number;
}

/** Actions that the entry must perform. */
export type ClaimEffect =
  | {
      readonly kind: "append";
      readonly shard: number;
      readonly batch: ClaimBatch;
    }
  /** The call's claim was read back; nothing else permits a dispatch. */
  | {
      readonly kind: "dispatch";
      readonly call: string;
      readonly claim: ClaimEntry;
    }
  | {
      readonly kind: "ask";
      readonly call: string;
      readonly claim: ClaimEntry;
      /** Whether an attempt that hasn't started must get a tombstone. */
      readonly tombstone: boolean;
    }
  /** The call receives the answer of the attempt that holds the claim. */
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
