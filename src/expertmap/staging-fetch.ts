/**
 * Fetches the weights of the map that the engine is staging. Starts with the
 * weights that the engine lacks and detects when a restarted engine lacks
 * weights again.
 */
import {
  hashExpertMap,
  ranksOf,
  weightKey,
  weightsOf,
  type EngineCall,
  type EngineMapState,
  type StagedWeight,
  type MapStaging,
  type WeightFetch,
  type WeightPart,
} from "../internal.js";

type StageCall = EngineCall & { readonly kind: "stage" };

export class StagingFetch {
  /** Hash of the map whose weights are being fetched. */
  private mapHash = "";

  private constructor(
    private readonly member: string,
    private readonly staging: MapStaging,
    private readonly fetch: WeightFetch,
  ) {}

  static create(
    member: string,
    staging: MapStaging,
    fetch: WeightFetch,
  ): StagingFetch {
    return new StagingFetch(member, staging, fetch);
  }

  get totalBytes(): number {
    return this.fetch.totalBytes;
  }

  /** Starts fetching after the engine's answer to a stage call. */
  start(call: StageCall, staged: readonly StagedWeight[]): void {
    this.mapHash = call.mapHash;
    const stagedKeys = new Set(staged.map(weightKey));
    const wanted = call.weights.filter((item) =>
      stagedKeys.has(weightKey(item)),
    );
    this.fetch.start(wanted, staged);
  }

  nextPart(state: EngineMapState, now: number): WeightPart | undefined {
    return state.stagingHash === this.mapHash
      ? this.fetch.nextPart(now)
      : undefined;
  }

  partArrived(part: WeightPart, heldBytes: number): void {
    this.fetch.partArrived(part, heldBytes);
  }

  partFailed(part: WeightPart, now: number, retryAfterMs: number): void {
    this.fetch.partFailed(part, now, retryAfterMs);
  }

  /**
   * Returns a stage call whose answer shows which weights the engine holds.
   * Needed after a restart of this agent, and when the engine restarted and
   * lost weights that were already fetched.
   */
  resumeCall(state: EngineMapState): StageCall | undefined {
    const { stagingHash, stagingComplete, members } = state;
    const isFetching = stagingHash === this.mapHash && !this.fetch.isIdle;
    if (stagingComplete || isFetching) return undefined;
    const { pendingJoin } = this.staging;
    const isForJoin =
      pendingJoin !== undefined &&
      hashExpertMap(pendingJoin.map) === stagingHash;
    const map = isForJoin
      ? pendingJoin.map
      : this.staging.mapByHash(stagingHash);
    if (map === undefined) return undefined;
    const mapMembers = isForJoin ? pendingJoin.members : members;
    const weights = weightsOf(map, ranksOf(mapMembers, this.member));
    return { kind: "stage", mapHash: stagingHash, weights };
  }
}
