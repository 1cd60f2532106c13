/** Types of the expert map switch: maps, proposals, votes, messages, effects. */
import type { ApricotdeckError, Ballot, ExpertMap } from "../internal.js";

/** A backend server of the group and the ranks that its engine runs. */
export interface GroupMember {
  readonly member: string;
  readonly ranks: readonly number[];
}

export interface Participant {
  readonly member: string;
  /** Agent incarnation that the proposal is put to. */
  readonly agent: string;
}

/** Everything of a proposal that deciding needs; the map travels apart. */
export interface Proposal {
  readonly id: Ballot;
  readonly group: Ballot;
  /** The version in force when it was made, plus one. */
  readonly version: number;
  readonly mapHash: string;
  /** First step that runs on the new map. */
  readonly step: number;
  readonly participants: readonly Participant[];
}

/** A member's vote; it is read from its engine's register and never changes. */
export interface Vote {
  readonly member: string;
  readonly yes: boolean;
}

export type ProposalOutcome = "committed" | "aborted";

export interface ArmedProposal {
  readonly proposal: Proposal;
  /** The outcome is known to the engine; it switches at the step. */
  readonly committed: boolean;
}

/** Experts that one rank needs in one layer. */
export interface WeightName {
  readonly rank: number;
  readonly layer: number;
  readonly expert: number;
}

export interface StagedWeight extends WeightName {
  /** Bytes that the engine holds so far. */
  readonly bytes: number;
}

/** What an engine tells on `GET /expert-map` and after each order to it. */
export interface EngineMapState {
  readonly engine: string;
  /** Null until the engine has joined an incarnation of its group. */
  readonly group: Ballot | null;
  readonly members: readonly GroupMember[];
  /** Highest formation that the engine has promised itself to. */
  readonly sealed: Ballot;
  readonly version: number;
  readonly mapHash: string;
  /** First step that runs on the present map. */
  readonly since: number;
  /** Proposal that brought the present map; null after a formation. */
  readonly origin: Ballot | null;
  readonly armed: ArmedProposal | null;
  /** No proposal up to this number can be armed any more. */
  readonly floor: Ballot;
  /** Next step to run. */
  readonly step: number;
  readonly stepMs: number;
  /** Since when the engine has held at an undecided step, ms; 0 when not. */
  readonly heldMs: number;
  /** All holds since the engine's start, the present one with it, ms. */
  readonly heldTotalMs: number;
  /** Map that weights are being staged for. */
  readonly stagingHash: string;
  /** Every weight asked for has arrived whole. */
  readonly stagingComplete: boolean;
}

/** One report of one rank's step; they come late and with gaps. */
export interface StepReport {
  readonly group: Ballot;
  readonly step: number;
  readonly rank: number;
  readonly version: number;
  readonly mapHash: string;
  readonly durationMs: number;
  /** Tokens of each expert of each layer that the rank worked on. */
  readonly counts: readonly (readonly number[])[];
}

export interface StageMessage {
  readonly kind: "stage";
  readonly group: Ballot;
  readonly version: number;
  readonly map: ExpertMap;
}

export interface StagedMessage {
  readonly kind: "staged";
  readonly group: Ballot;
  readonly mapHash: string;
  readonly agent: string;
  readonly complete: boolean;
  readonly step: number;
  readonly stepMs: number;
  readonly floor: Ballot;
}

/** Puts a proposal, tells votes and asks for them, all in one. */
export interface VotesMessage {
  readonly kind: "votes";
  readonly proposal: Proposal;
  readonly votes: readonly Vote[];
  /** The sender doesn't know the outcome and asks for what the other knows. */
  readonly wanted: boolean;
}

export interface SealMessage {
  readonly kind: "seal";
  readonly formation: Ballot;
}

/** A member's state after it promised itself to a formation. */
export interface SealedMessage {
  readonly kind: "sealed";
  readonly formation: Ballot;
  readonly group: Ballot | null;
  readonly version: number;
  readonly map: ExpertMap | null;
  readonly armed: Proposal | null;
  readonly armedMap: ExpertMap | null;
  /** A vote against the armed proposal is known. */
  readonly rejected: boolean;
}

export interface JoinMessage {
  readonly kind: "join";
  readonly formation: Ballot;
  readonly members: readonly GroupMember[];
  readonly version: number;
  readonly map: ExpertMap;
}

export interface JoinedMessage {
  readonly kind: "joined";
  readonly formation: Ballot;
}

/** The engine isn't promised to the formation (any more): it can't end. */
export interface UnableMessage {
  readonly kind: "unable";
  readonly formation: Ballot;
}

/** The engine's steps stand still in this incarnation. */
export interface StandingMessage {
  readonly kind: "standing";
  readonly group: Ballot | null;
}

export type MapMessage =
  | StageMessage
  | StagedMessage
  | VotesMessage
  | SealMessage
  | SealedMessage
  | JoinMessage
  | JoinedMessage
  | UnableMessage
  | StandingMessage;

/** Orders of the agent to its own engine; each is idempotent. */
export type EngineCall =
  | { readonly kind: "read"; readonly withMap: boolean }
  | {
      readonly kind: "stage";
      readonly mapHash: string;
      readonly weights: readonly WeightName[];
    }
  | {
      readonly kind: "arm";
      readonly proposal: Proposal;
      readonly map: ExpertMap;
    }
  | { readonly kind: "refuse"; readonly proposal: Proposal }
  | { readonly kind: "commit"; readonly proposal: Proposal }
  | { readonly kind: "abort"; readonly proposal: Proposal }
  | { readonly kind: "seal"; readonly formation: Ballot }
  | {
      readonly kind: "join";
      readonly formation: Ballot;
      readonly members: readonly GroupMember[];
      readonly version: number;
      readonly map: ExpertMap;
    };

/** The state after an order; large parts come only with the order they serve. */
export interface EngineAnswer {
  readonly state: EngineMapState;
  /** With a `seal`, and a `read` that asks for it: map in force. */
  readonly map: ExpertMap | null;
  /** With a `seal`: map of the armed proposal. */
  readonly armedMap: ExpertMap | null;
  /** With a `stage`: what the engine already holds of the wanted weights. */
  readonly staged: readonly StagedWeight[] | null;
}

/** One part of one expert's weights to fetch and to hand to the engine. */
export interface WeightPart {
  readonly weight: WeightName;
  readonly offset: number;
  readonly length: number;
}

export type ProposalEnd = ProposalOutcome | ApricotdeckError;

export type MapEffect =
  | {
      readonly kind: "send";
      readonly to: string;
      readonly message: MapMessage;
    }
  | { readonly kind: "engine"; readonly call: EngineCall }
  | { readonly kind: "fetch"; readonly part: WeightPart }
  | {
      readonly kind: "ended";
      readonly mapHash: string;
      readonly end: ProposalEnd;
    };
