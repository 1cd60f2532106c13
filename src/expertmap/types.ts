/** Types of the expert map switch: proposals, votes, messages, effects. */
import type { ApricotdeckError, Ballot, ExpertMap } from "../internal.js";

/** A backend server of the group and the ranks that its engine runs. */
export interface GroupMember {
  readonly member: string;
  readonly ranks: readonly number[];
}

export interface Participant {
  readonly member: string;
  /** Agent incarnation that the proposal is addressed to. */
  readonly agent: string;
}

/** The part of a proposal that the votes need; the map is sent separately. */
export interface Proposal {
  readonly id: Ballot;
  readonly group: Ballot;
  /** One above the version in force when the proposal was made. */
  readonly version: number;
  readonly mapHash: string;
  /**
   * First step that runs on the new map. An engine that has reached it can no
   * longer vote yes.
   */
  readonly step: number;
  readonly participants: readonly Participant[];
}

/** A member's vote, read from its engine's register; it never changes. */
export interface Vote {
  readonly member: string;
  readonly yes: boolean;
}

export type ProposalOutcome = "committed" | "aborted";

export interface ArmedProposal {
  readonly proposal: Proposal;
  /** Whether the engine knows of the commit and will switch at the step. */
  readonly committed: boolean;
}

/** Identifies the weights of one expert on one rank and layer. */
export interface ExpertWeightId {
  readonly rank: number;
  readonly layer: number;
  readonly expert: number;
}

export interface StagedWeight extends ExpertWeightId {
  /** Bytes that the engine holds so far. */
  readonly bytes: number;
}

/** Engine state, returned by `GET /expert-map` and after each call. */
export interface EngineMapState {
  readonly engine: string;
  /** Null until the engine has joined an incarnation of its group. */
  readonly group: Ballot | null;
  readonly members: readonly GroupMember[];
  /** Highest formation that the engine is sealed to. */
  readonly sealed: Ballot;
  readonly version: number;
  readonly mapHash: string;
  /** First step that runs on the current map. */
  readonly since: number;
  /** Proposal that introduced the current map; null after a formation. */
  readonly origin: Ballot | null;
  readonly armed: ArmedProposal | null;
  /** Proposals up to and including this ballot can't be armed any more. */
  readonly floor: Ballot;
  /** Next step to run. */
  readonly step: number;
  readonly stepMs: number;
  /** How long the engine has held at an undecided step, ms; 0 when not held. */
  readonly heldMs: number;
  /**
   * Total hold time since the engine's start, including the current hold, ms.
   */
  readonly heldTotalMs: number;
  /** Hash of the map that weights are being staged for. */
  readonly stagingHash: string;
  /** Whether all requested weights have arrived completely. */
  readonly stagingComplete: boolean;
}

/** Report of one step of one rank; reports arrive late and with gaps. */
export interface StepReport {
  readonly group: Ballot;
  readonly step: number;
  readonly rank: number;
  readonly version: number;
  readonly mapHash: string;
  readonly durationMs: number;
  /** Tokens that the rank processed, by layer and expert. */
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

/** Carries a proposal and known votes, and may request missing votes. */
export interface VotesMessage {
  readonly kind: "votes";
  readonly proposal: Proposal;
  readonly votes: readonly Vote[];
  /** The sender doesn't know the outcome and requests the receiver's votes. */
  readonly wanted: boolean;
}

export interface SealMessage {
  readonly kind: "seal";
  readonly formation: Ballot;
}

/** A member's state after its engine was sealed to a formation. */
export interface SealedMessage {
  readonly kind: "sealed";
  readonly formation: Ballot;
  readonly group: Ballot | null;
  readonly version: number;
  readonly map: ExpertMap | null;
  readonly armed: Proposal | null;
  readonly armedMap: ExpertMap | null;
  /** Whether a no to the armed proposal is known. */
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

/** The engine isn't sealed to the formation, which therefore can't complete. */
export interface UnableMessage {
  readonly kind: "unable";
  readonly formation: Ballot;
}

/** The sender's engine is stalled in this incarnation. */
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

/** Calls of the agent to its engine; each is idempotent. */
export type EngineCall =
  | { readonly kind: "read"; readonly withMap: boolean }
  | {
      readonly kind: "stage";
      readonly mapHash: string;
      readonly weights: readonly ExpertWeightId[];
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

/** Engine state after a call; large parts are included only where needed. */
export interface EngineAnswer {
  readonly state: EngineMapState;
  /** Map in force; after `seal`, and after `read` with `withMap`. */
  readonly map: ExpertMap | null;
  /** Map of the armed proposal; after `seal`. */
  readonly armedMap: ExpertMap | null;
  /**
   * Bytes that the engine already holds of the requested weights; after
   * `stage`.
   */
  readonly staged: readonly StagedWeight[] | null;
}

/** Byte range of one expert's weights to fetch and pass to the engine. */
export interface WeightPart {
  readonly weight: ExpertWeightId;
  readonly offset: number;
  readonly length: number;
}

export type ProposalResult = ProposalOutcome | ApricotdeckError;

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
      readonly end: ProposalResult;
    };
