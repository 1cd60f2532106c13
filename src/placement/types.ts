/** Types of placement, which chooses the backend server for a request. */
import type { Emit, Now, Random } from "../internal.js";

/** Properties of a backend server other than its load. */
export interface RunnerDescription {
  readonly runner: string;
  /** Its ranks run in lockstep with those of the whole group. */
  readonly group: string;
  readonly dataCentre: string;
  /**
   * Keys of the models or plain services that it serves completely, with and
   * without version. Empty for a runner whose role covers only a part of the
   * work.
   */
  readonly pools: readonly string[];
  /** Names of the loaded adapters. */
  readonly adapters: readonly string[];
  /** Requests that its engine runs in one batch. */
  readonly slots: number;
}

export interface PlacementRequest {
  readonly pool: string;
  readonly adapter?: string;
  /** 0 is the highest, with a share of the agents' queues reserved for it. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Expected number, not the caller's limit. */
  readonly outputTokens: number;
  /** Chained hashes of the prompt's blocks, by ascending prefix length. */
  readonly prefix: readonly number[];
  /** Runners that refused this request or failed while running it. */
  readonly excluded?: readonly string[];
}

export interface PlacementChoice {
  readonly runner: string;
  readonly group: string;
  /** Predicted time in the runner's queue. */
  readonly waitMs: number;
  /** Predicted service time at the speed that the settings give. */
  readonly nominalMs: number;
  /** Predicted service time at the speed observed at the runner. */
  readonly serviceMs: number;
  /** Tokens of the prompt that the runner probably has cached. */
  readonly cachedTokens: number;
  /** Runner from which transferring the prefix's KV cache saves time. */
  readonly importFrom: string | undefined;
  /** False if even this runner is predicted to be full. */
  readonly hasRoom: boolean;
}

/** Load of a runner as reported by its agent. */
export interface RunnerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly freeBlocks: number;
  readonly totalBlocks: number;
  /** Age of the report when it arrived. */
  readonly ageMs: number;
  /** Duration of one engine step; 0 if unknown. */
  readonly stepMs: number;
}

/** A change of a runner's prefix cache. */
export interface CacheEvent {
  readonly runner: string;
  /** Increases by one per event of the runner; a jump means lost events. */
  readonly sequence: number;
  readonly kind: "stored" | "removed" | "cleared";
  readonly hashes: readonly number[];
}

/** A placed request and the choice made for it. */
export interface PlacedRequest {
  readonly request: PlacementRequest;
  readonly choice: PlacementChoice;
}

export interface KvTransfer {
  /** Fixed cost of one export and import. */
  readonly setupMs: number;
  readonly msPerToken: number;
}

/** Properties of the site that predictions are based on. */
export interface PlacementSettings {
  /** Data centre of this entry. */
  readonly dataCentre: string;
  /** Round-trip time to another data centre. */
  readonly distanceMs: (dataCentre: string) => number;
  readonly blockTokens: number;
  readonly prefillMsPerToken: number;
  readonly stepMs: number;
  readonly adapterLoadMs: number;
  /** Undefined if engines can't transfer their KV cache. */
  readonly kvTransfer: KvTransfer | undefined;
  /** Requests that an agent accepts beyond its slots, as a share of them. */
  readonly queueShare: number;
}

export interface PlacementInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly settings: PlacementSettings;
  readonly tuning?: Partial<PlacementTuning>;
}

/** Policy constants; docs/measurements/placement.md has the measurements. */
export interface PlacementTuning {
  /** Largest pool in which every runner is compared. */
  readonly fullScanLimit: number;
  /** Runners of a larger pool compared in addition to the prefix's holders. */
  readonly sampleCount: number;
  /** Maximum number of a prefix's holders that are compared. */
  readonly maximumHolders: number;
  /** Time in which the weight of a report decays to 1/e. */
  readonly reportDecayMs: number;
  /** Score penalty of a full batch, relative to an empty one. */
  readonly occupancyPenaltyMs: number;
  /** Time in which slowness above 1 decays to 1/e if nothing is observed. */
  readonly slownessDecayMs: number;
}
