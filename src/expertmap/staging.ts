/**
 * Chooses the map that this member stages weights for. A formation's map takes
 * precedence over a proposed one. Of two proposers the one with the lower name
 * takes precedence, so that concurrent proposers can't keep undoing each
 * other's staging.
 */
import {
  hashExpertMap,
  ranksOf,
  sameBallot,
  weightsOf,
  type Ballot,
  type EngineCall,
  type EngineMapState,
  type ExpertMap,
  type JoinMessage,
  type StageMessage,
  type StagedMessage,
} from "../internal.js";

interface StagingTarget {
  readonly map: ExpertMap;
  readonly from: string;
  readonly group: Ballot;
  lastRequestAt: number;
}

/** A proposer that sends no stage request for this time may be superseded. */
const PROPOSER_TIMEOUT_MS = 1_000;

export class MapStaging {
  private target: StagingTarget | undefined;
  private joinRequest: JoinMessage | undefined;

  private constructor(
    private readonly member: string,
    private readonly agent: string,
  ) {}

  static create(member: string, agent: string): MapStaging {
    return new MapStaging(member, agent);
  }

  get pendingJoin(): JoinMessage | undefined {
    return this.joinRequest;
  }

  mapByHash(hash: string): ExpertMap | undefined {
    const map = this.target?.map;
    return map !== undefined && hashExpertMap(map) === hash ? map : undefined;
  }

  stage(
    from: string,
    message: StageMessage,
    state: EngineMapState,
    now: number,
  ): StagedMessage | undefined {
    const { group, version, map } = message;
    if (!sameBallot(state.group, group)) return undefined;
    if (version !== state.version + 1) return undefined;
    if (this.mayReplaceTarget(from, group, now)) {
      const knownMap = this.mapByHash(hashExpertMap(map));
      this.target = { map: knownMap ?? map, from, group, lastRequestAt: now };
    }
    const mapHash = hashExpertMap(map);
    const isTarget = this.mapByHash(mapHash) !== undefined;
    const { step, stepMs, floor } = state;
    const complete =
      isTarget && state.stagingHash === mapHash && state.stagingComplete;
    const { agent } = this;
    return {
      kind: "staged",
      group,
      mapHash,
      agent,
      complete,
      step,
      stepMs,
      floor,
    };
  }

  /**
   * Accepts a join request; false when the engine isn't sealed to the
   * formation. An engine that restarted after it was sealed must not join,
   * because it may already have stepped in this incarnation.
   */
  join(message: JoinMessage, state: EngineMapState): boolean {
    const isSealed = sameBallot(state.sealed, message.formation);
    if (isSealed) this.joinRequest = message;
    return isSealed;
  }

  /** The next engine call for staging or joining, if any. */
  nextCall(state: EngineMapState): EngineCall | undefined {
    const { joinRequest } = this;
    if (joinRequest !== undefined) {
      const isObsolete =
        !sameBallot(state.sealed, joinRequest.formation) ||
        sameBallot(state.group, joinRequest.formation);
      if (isObsolete) this.joinRequest = undefined;
      else return this.joinCall(joinRequest, state);
    }
    if (this.target === undefined || state.armed !== null) return undefined;
    if (!sameBallot(this.target.group, state.group)) return undefined;
    return this.stageCall(this.target.map, state.members, state);
  }

  private joinCall(
    joinRequest: JoinMessage,
    state: EngineMapState,
  ): EngineCall | undefined {
    const { map, members, formation, version } = joinRequest;
    const isReady =
      state.stagingHash === hashExpertMap(map) && state.stagingComplete;
    if (isReady) return { kind: "join", formation, members, version, map };
    return this.stageCall(map, members, state);
  }

  private stageCall(
    map: ExpertMap,
    members: JoinMessage["members"],
    state: EngineMapState,
  ): EngineCall | undefined {
    const mapHash = hashExpertMap(map);
    if (state.stagingHash === mapHash) return undefined;
    const weights = weightsOf(map, ranksOf(members, this.member));
    return { kind: "stage", mapHash, weights };
  }

  private mayReplaceTarget(from: string, group: Ballot, now: number): boolean {
    const { target } = this;
    if (target === undefined || !sameBallot(target.group, group)) return true;
    if (from <= target.from) return true;
    return now - target.lastRequestAt > PROPOSER_TIMEOUT_MS;
  }
}
