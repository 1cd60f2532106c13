/** Settings and states of the claim coordinator. */
import type { Emit } from "../internal.js";
import { claimRules, type ClaimRules } from "./table.js";
import type { AgentChoice, ClaimEntry, ClaimRequest } from "./types.js";

/** Decisions that tests switch off one at a time. */
export interface CoordinatorRules {
  readonly table: ClaimRules;
  /** Dispatch only after the claim was read back. */
  readonly awaitsReading: boolean;
  /** Release and claim anew only after a proof. */
  readonly wantsProof: boolean;
  /** Refuse "not run" only under an own key or after a close. */
  readonly refusesTruthfully: boolean;
}

export const coordinatorRules: CoordinatorRules = {
  table: claimRules,
  awaitsReading: true,
  wantsProof: true,
  refusesTruthfully: true,
};

export interface CoordinatorSettings {
  readonly entry: string;
  readonly entryIncarnation: string;
  /** Appends that this entry may make, in all shards together. */
  readonly appendsPerSecond: number;
  /** A new UUIDv7; its time tells the agent how old the attempt is. */
  readonly newAttempt: () => string;
  /** Places a call; nothing when no backend server can take it now. */
  readonly chooseAgent: (call: string) => AgentChoice | undefined;
  readonly emit: Emit;
  readonly rules?: CoordinatorRules;
}

/** How far a call is. */
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
  /** Attempt that is being waited for, and since when. */
  readonly awaited: { readonly attempt: string; readonly sinceMs: number };
  readonly giveUpAtMs: number;
}
