/**
 * Ties the fetch of weights to what the engine is staging: starts it with what
 * the engine lacks, and finds out when the engine lacks something again.
 */
import {
  hashMap,
  ranksOf,
  weightKey,
  weightsOf,
  type EngineCall,
  type EngineMapState,
  type StagedWeight,
  type Staging,
  type WeightFetch,
  type WeightPart,
} from "../internal.js";

type StageCall = EngineCall & { readonly kind: "stage" };

export class StagingFetch {
  /** Hash of the map whose weights are fetched. */
  private mapHash = "";

  private constructor(
    private readonly member: string,
    private readonly staging: Staging,
    private readonly fetch: WeightFetch,
  ) {}

  static create(
    member: string,
    staging: Staging,
    fetch: WeightFetch,
  ): StagingFetch {
    return new StagingFetch(member, staging, fetch);
  }

  get totalBytes(): number {
    return this.fetch.totalBytes;
  }

  /** The engine was told what to stage, and told what it holds of it. */
  start(call: StageCall, staged: readonly StagedWeight[]): void {
    this.mapHash = call.mapHash;
    const named = new Set(staged.map(weightKey));
    const wanted = call.weights.filter((item) => named.has(weightKey(item)));
    this.fetch.start(wanted, staged);
  }

  next(state: EngineMapState, now: number): WeightPart | undefined {
    return state.stagingHash === this.mapHash
      ? this.fetch.next(now)
      : undefined;
  }

  arrived(part: WeightPart, heldBytes: number): void {
    this.fetch.arrived(part, heldBytes);
  }

  failed(part: WeightPart, now: number, retryAfterMs: number): void {
    this.fetch.failed(part, now, retryAfterMs);
  }

  /**
   * Learns from the engine how far the weights have come: after a new start of
   * this agent, and when the engine lacks weights that were thought fetched
   * because it started again in between.
   */
  resumeCall(state: EngineMapState): StageCall | undefined {
    const { stagingHash, stagingComplete, members } = state;
    const fetching = stagingHash === this.mapHash && !this.fetch.idle;
    if (stagingComplete || fetching) return undefined;
    const { formation } = this.staging;
    const joins =
      formation !== undefined && hashMap(formation.map) === stagingHash;
    const map = joins ? formation.map : this.staging.mapByHash(stagingHash);
    if (map === undefined) return undefined;
    const list = joins ? formation.members : members;
    const weights = weightsOf(map, ranksOf(list, this.member));
    return { kind: "stage", mapHash: stagingHash, weights };
  }
}
