/** Settings and call states of the claim coordinator. */
import type { Emit } from "../internal.js";
import { claimRules, type ClaimRules } from "./table.js";
import type { AgentChoice, ClaimEntry, ClaimRequest } from "./types.js";

/** Safety rules; the fuzzer disables them one at a time. */
export interface CoordinatorRules {
  readonly table: ClaimRules;
  /** Dispatch a call only after its claim was read back. */
  readonly awaitsReadBack: boolean;
  /** Release a claim only with proof that its attempt never starts. */
  readonly requiresReleaseProof: boolean;
  /** Answer "not run" only for the entry's own key or after a close. */
  readonly closesBeforeNotRun: boolean;
}

export const coordinatorRules: CoordinatorRules = {
  table: claimRules,
  awaitsReadBack: true,
  requiresReleaseProof: true,
  closesBeforeNotRun: true,
};

export interface CoordinatorSettings {
  readonly entry: string;
  readonly entryIncarnation: string;
  /** Append limit of this entry over all shards. */
  readonly appendsPerSecond: number;
  /** Creates a UUIDv7; its timestamp gives the agent the attempt's age. */
  readonly newAttempt: () => string;
  /** Places a call; undefined when no backend server can take it now. */
  readonly chooseAgent: (call: string) => AgentChoice | undefined;
  readonly emit: Emit;
  readonly rules?: CoordinatorRules;
}

/** Phase of a call and the claim that it concerns. */
export type Phase =
  | { readonly kind: "claiming"; readonly claim: ClaimEntry }
  | { readonly kind: "asking"; readonly claim: ClaimEntry }
  | {
      readonly kind: "pausing";
      readonly claim: ClaimEntry;
      readonly askAtMs: number;
    }
  | { readonly kind: "dispatched"; readonly claim: ClaimEntry }
  | { readonly kind: "closing"; readonly claim: ClaimEntry };

export interface CallState {
  readonly request: ClaimRequest;
  readonly phase: Phase;
  /** The attempt that the call waits for, and when the wait began. */
  readonly awaited: { readonly attempt: string; readonly sinceMs: number };
  readonly giveUpAtMs: number;
}
