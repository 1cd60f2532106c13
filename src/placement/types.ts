/** Types of placement: which backend server gets a request. */
import type { Emit, Now, Random } from "../internal.js";

/** What an entry knows of a backend server apart from its load. */
export interface RunnerDescription {
  readonly runner: string;
  /** Its ranks run in lock-step with those of the whole group. */
  readonly group: string;
  readonly dataCentre: string;
  /**
   * What it serves in full: model or plain service keys, with and without
   * version. A runner whose role is only a part of the work lists none.
   */
  readonly pools: readonly string[];
  /** Adapters that are loaded. */
  readonly adapters: readonly string[];
  /** Requests that its engine batches at once. */
  readonly slots: number;
}

export interface PlacementRequest {
  readonly pool: string;
  readonly adapter?: string;
  /** 0 is served first, and has room where the others have none. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Expected, not the caller's upper limit. */
  readonly outputTokens: number;
  /** Chained hashes of the prompt's blocks, shortest prefix first. */
  readonly prefix: readonly number[];
  /** Runners that have refused or broken this request. */
  readonly excluded?: readonly string[];
}

export interface Choice {
  readonly runner: string;
  readonly group: string;
  /** Predicted time in the runner's queue. */
  readonly waitMs: number;
  /** Time from its start to its end at the speed of the settings. */
  readonly nominalMs: number;
  /** The same at the speed that the runner has shown. */
  readonly serviceMs: number;
  /** Tokens of the prompt that the runner is believed to hold. */
  readonly cachedTokens: number;
  /** Runner whose KV cache of the prefix is worth moving. */
  readonly importFrom: string | undefined;
  /** False when even this runner is predicted to be full. */
  readonly hasRoom: boolean;
}

/** Load of a runner, as its agent reported it. */
export interface RunnerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly freeBlocks: number;
  readonly totalBlocks: number;
  /** Age of the figures on arrival. */
  readonly ageMs: number;
  /** Duration of one engine step; 0 when unknown. */
  readonly stepMs: number;
}

/** One record of a runner's stream of prefix cache changes. */
export interface CacheEvent {
  readonly runner: string;
  /** Rises by one with each event of the runner; a jump is a gap. */
  readonly sequence: number;
  readonly kind: "stored" | "removed" | "cleared";
  readonly hashes: readonly number[];
}

/** Identifies a placed request when its end is told. */
export interface Placed {
  readonly request: PlacementRequest;
  readonly choice: Choice;
}

export interface KvTransfer {
  /** Fixed part of one export and import. */
  readonly setupMs: number;
  readonly msPerToken: number;
}

/** Figures of the site that placement reckons with. */
export interface PlacementSettings {
  /** Data centre of this entry. */
  readonly dataCentre: string;
  /** Round trip to another data centre. */
  readonly distanceMs: (dataCentre: string) => number;
  readonly blockTokens: number;
  readonly prefillMsPerToken: number;
  readonly stepMs: number;
  readonly adapterLoadMs: number;
  /** Absent where engines can't move their cache. */
  readonly kvTransfer: KvTransfer | undefined;
  /** Requests beyond its slots that a runner's agent takes, as a share. */
  readonly queueShare: number;
}

export interface PlacementInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly settings: PlacementSettings;
  readonly tuning?: Partial<PlacementTuning>;
}

/** Constants of the policy; docs/measurements/placement.md has the figures. */
export interface PlacementTuning {
  /** Largest pool of which every runner is compared. */
  readonly scanUpTo: number;
  /** Runners of a larger pool compared besides the holders of the prefix. */
  readonly samples: number;
  /** Holders of a prefix that are compared. */
  readonly holders: number;
  /** After this time a report counts for 1/e. */
  readonly reportTrustMs: number;
  /** Charge for a full batch, against an empty one. */
  readonly occupancyMs: number;
  /** After this time without news a slow runner is believed 1/e less slow. */
  readonly slownessMemoryMs: number;
}
