/**
 * Which map this member stages weights for. A map of a formation goes first;
 * of two proposers the one with the lower name does, so that two of them at
 * once can't keep undoing each other's staging.
 */
import {
  hashMap,
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

interface Target {
  readonly map: ExpertMap;
  readonly from: string;
  readonly group: Ballot;
  heardAt: number;
}

/** A proposer that asks no more has ended or died; another may take over. */
const PROPOSER_SILENT_MS = 1_000;

export class Staging {
  private target: Target | undefined;
  private joining: JoinMessage | undefined;

  private constructor(
    private readonly member: string,
    private readonly agent: string,
  ) {}

  static create(member: string, agent: string): Staging {
    return new Staging(member, agent);
  }

  get formation(): JoinMessage | undefined {
    return this.joining;
  }

  mapByHash(hash: string): ExpertMap | undefined {
    const map = this.target?.map;
    return map !== undefined && hashMap(map) === hash ? map : undefined;
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
    if (this.mayReplace(from, group, now)) {
      const same = this.mapByHash(hashMap(map));
      this.target = { map: same ?? map, from, group, heardAt: now };
    }
    const mapHash = hashMap(map);
    const current = this.mapByHash(mapHash) !== undefined;
    const { step, stepMs, floor } = state;
    const complete =
      current && state.stagingHash === mapHash && state.stagingComplete;
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
   * Takes up a formation; false when the engine isn't promised to it. An engine
   * that started again after its promise must not join: it may have stepped in
   * this incarnation before.
   */
  join(message: JoinMessage, state: EngineMapState): boolean {
    const promised = sameBallot(state.sealed, message.formation);
    if (promised) this.joining = message;
    return promised;
  }

  /** The order that the engine needs next for staging or joining, if any. */
  wantedCall(state: EngineMapState): EngineCall | undefined {
    const { joining } = this;
    if (joining !== undefined) {
      const over =
        !sameBallot(state.sealed, joining.formation) ||
        sameBallot(state.group, joining.formation);
      if (over) this.joining = undefined;
      else return this.joinCall(joining, state);
    }
    if (this.target === undefined || state.armed !== null) return undefined;
    if (!sameBallot(this.target.group, state.group)) return undefined;
    return this.stageCall(this.target.map, state.members, state);
  }

  private joinCall(
    joining: JoinMessage,
    state: EngineMapState,
  ): EngineCall | undefined {
    const { map, members, formation, version } = joining;
    const ready = state.stagingHash === hashMap(map) && state.stagingComplete;
    if (ready) return { kind: "join", formation, members, version, map };
    return this.stageCall(map, members, state);
  }

  private stageCall(
    map: ExpertMap,
    members: JoinMessage["members"],
    state: EngineMapState,
  ): EngineCall | undefined {
    const mapHash = hashMap(map);
    if (state.stagingHash === mapHash) return undefined;
    const weights = weightsOf(map, ranksOf(members, this.member));
    return { kind: "stage", mapHash, weights };
  }

  private mayReplace(from: string, group: Ballot, now: number): boolean {
    const { target } = this;
    if (target === undefined || !sameBallot(target.group, group)) return true;
    if (from <= target.from) return true;
    return now - target.heardAt > PROPOSER_SILENT_MS;
  }
}
