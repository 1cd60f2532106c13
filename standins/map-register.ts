/**
 * Expert map state of one simulated engine, following the engine interface in
 * docs/PLATFORM-ENGINE.md. It is passive: it changes only through calls.
 */
import {
  compareBallots,
  hashExpertMap,
  higherBallot,
  lowestBallot,
  ranksOf,
  sameBallot,
  unreachable,
  weightKey,
  weightsOf,
  type ArmedProposal,
  type Ballot,
  type EngineAnswer,
  type EngineCall,
  type EngineMapState,
  type ExpertMap,
  type GroupMember,
  type Proposal,
  type ExpertWeightId,
} from "../src/internal.js";

export interface RegisterSettings {
  readonly member: string;
  readonly engine: string;
  readonly bytesPerExpert: number;
}

export interface ActiveMap {
  readonly version: number;
  readonly map: ExpertMap;
  readonly sinceStep: number;
  readonly origin: Ballot | null;
}

/** Response of an engine, and whether it accepted the call. */
export interface RegisterAnswer {
  readonly accepted: boolean;
  readonly answer: EngineAnswer;
}

interface StagingSet {
  readonly hash: string;
  readonly bytes: Map<string, number>;
  readonly weights: readonly ExpertWeightId[];
}

export class MapRegister {
  group: Ballot | null = null;
  members: readonly GroupMember[] = [];
  step = 0;
  activeMap: ActiveMap | undefined;
  armed: ArmedProposal | null = null;
  private heldSinceMs: number | undefined;
  private previousHoldsMs = 0;
  stepMs = 0;
  private armedMap: ExpertMap | null = null;
  private sealed: Ballot = lowestBallot;
  private floor: Ballot = lowestBallot;
  private staging: StagingSet | undefined;

  private constructor(private readonly settings: RegisterSettings) {}

  static create(settings: RegisterSettings): MapRegister {
    return new MapRegister(settings);
  }

  call(call: EngineCall, now: number): RegisterAnswer {
    const accepted = this.apply(call);
    const includesMaps =
      call.kind === "seal" || (call.kind === "read" && call.withMap);
    const answer: EngineAnswer = {
      state: this.state(now),
      map: includesMaps ? (this.activeMap?.map ?? null) : null,
      armedMap: includesMaps ? this.armedMap : null,
      staged: call.kind === "stage" ? this.stagedWeights() : null,
    };
    return { accepted, answer };
  }

  state(now: number): EngineMapState {
    const { activeMap, settings, heldSinceMs, staging } = this;
    const heldMs =
      heldSinceMs === undefined ? 0 : Math.max(1, now - heldSinceMs);
    return {
      engine: settings.engine,
      group: this.group,
      members: this.members,
      sealed: this.sealed,
      version: activeMap?.version ?? 0,
      mapHash: activeMap === undefined ? "" : hashExpertMap(activeMap.map),
      since: activeMap?.sinceStep ?? 0,
      origin: activeMap?.origin ?? null,
      armed: this.armed,
      floor: this.floor,
      step: this.step,
      stepMs: this.stepMs,
      heldMs,
      heldTotalMs: this.previousHoldsMs + heldMs,
      stagingHash: staging?.hash ?? "",
      stagingComplete: this.isComplete(staging),
    };
  }

  /** Stores a chunk of an expert's weights; returns the bytes held so far. */
  putWeight(weight: ExpertWeightId, offset: number, length: number): number {
    const { staging } = this;
    const key = weightKey(weight);
    const held = staging?.bytes.get(key);
    if (staging === undefined || held === undefined) return 0;
    // Chunks that aren't contiguous are ignored; the sender continues from the
    // returned size.
    const received = offset === held ? held + length : held;
    const total = Math.min(received, this.settings.bytesPerExpert);
    staging.bytes.set(key, total);
    return total;
  }

  /**
   * Whether the engine has reached the step of an armed proposal that isn't
   * committed or whose weights aren't staged.
   */
  mustHold(now: number): boolean {
    const { armed, step, staging } = this;
    const holds =
      armed !== null &&
      step >= armed.proposal.step &&
      (!armed.committed || staging?.hash !== armed.proposal.mapHash);
    if (holds) this.heldSinceMs ??= now;
    else if (this.heldSinceMs !== undefined) {
      this.previousHoldsMs += now - this.heldSinceMs;
      this.heldSinceMs = undefined;
    }
    return holds;
  }

  /** Switches maps once the step of a committed proposal is reached. */
  switchIfCommitted(): void {
    const { armed, armedMap } = this;
    if (armed?.committed !== true || armedMap === null) return;
    if (this.step < armed.proposal.step) return;
    const { version, id } = armed.proposal;
    this.activeMap = {
      version,
      map: armedMap,
      sinceStep: this.step,
      origin: id,
    };
    this.disarm(id);
    this.staging = undefined;
  }

  private apply(call: EngineCall): boolean {
    switch (call.kind) {
      case "read":
        return true;
      case "stage":
        return this.stage(call.mapHash, call.weights);
      case "arm":
        return this.arm(call.proposal, call.map);
      case "refuse":
        return this.refuse(call.proposal);
      case "commit":
        return this.commit(call.proposal);
      case "abort":
        return this.abort(call.proposal);
      case "seal":
        return this.seal(call.formation);
      case "join":
        return this.join(call);
      default:
        return unreachable(call);
    }
  }

  private isArmed(proposal: Proposal): boolean {
    return sameBallot(this.armed?.proposal.id ?? null, proposal.id);
  }

  private stage(hash: string, weights: readonly ExpertWeightId[]): boolean {
    // An engine that is sealed for a newer formation must stage even while it
    // is armed, or it could never join. If the armed proposal is committed
    // after all, the engine holds (see mustHold).
    const isSealedForFormation = !sameBallot(this.sealed, this.group);
    if (this.armed !== null && !isSealedForFormation) return false;
    const held = new Set(this.ownWeights().map(weightKey));
    const missing = weights.filter((item) => !held.has(weightKey(item)));
    const stagedBytes = this.staging?.bytes;
    const bytes = new Map(
      missing.map((item) => {
        const key = weightKey(item);
        return [key, stagedBytes?.get(key) ?? 0];
      }),
    );
    this.staging = { hash, bytes, weights: missing };
    return true;
  }

  private arm(proposal: Proposal, map: ExpertMap): boolean {
    if (this.isArmed(proposal)) return true;
    const isAcceptable =
      sameBallot(this.group, proposal.group) &&
      sameBallot(this.sealed, proposal.group) &&
      this.armed === null &&
      proposal.version === this.state(0).version + 1 &&
      proposal.step > this.step &&
      compareBallots(proposal.id, this.floor) > 0 &&
      this.staging?.hash === proposal.mapHash &&
      this.isComplete(this.staging);
    if (!isAcceptable) return false;
    this.armed = { proposal, committed: false };
    this.armedMap = map;
    return true;
  }

  private refuse(proposal: Proposal): boolean {
    if (!sameBallot(this.group, proposal.group)) return false;
    if (this.isArmed(proposal)) return false;
    if (sameBallot(this.activeMap?.origin ?? null, proposal.id)) return false;
    this.floor = higherBallot(this.floor, proposal.id);
    return true;
  }

  private commit(proposal: Proposal): boolean {
    if (!sameBallot(this.group, proposal.group)) return false;
    if (this.isArmed(proposal)) {
      this.armed = { proposal, committed: true };
      return true;
    }
    return sameBallot(this.activeMap?.origin ?? null, proposal.id);
  }

  private abort(proposal: Proposal): boolean {
    if (!sameBallot(this.group, proposal.group)) return false;
    if (this.isArmed(proposal) && this.armed?.committed === true) return false;
    if (this.isArmed(proposal)) this.disarm(proposal.id);
    return true;
  }

  private seal(formation: Ballot): boolean {
    this.sealed = higherBallot(this.sealed, formation);
    return sameBallot(this.sealed, formation);
  }

  private join(call: EngineCall & { readonly kind: "join" }): boolean {
    const { formation, members, version, map } = call;
    if (sameBallot(this.group, formation)) return true;
    if (!sameBallot(this.sealed, formation)) return false;
    const hash = hashExpertMap(map);
    if (this.staging?.hash !== hash || !this.isComplete(this.staging)) {
      return false;
    }
    this.group = formation;
    this.members = members;
    this.activeMap = { version, map, sinceStep: 0, origin: null };
    this.step = 0;
    this.armed = null;
    this.armedMap = null;
    this.floor = lowestBallot;
    this.staging = undefined;
    return true;
  }

  private disarm(id: Ballot): void {
    this.armed = null;
    this.armedMap = null;
    this.floor = higherBallot(this.floor, id);
  }

  private isComplete(staging: StagingSet | undefined): boolean {
    if (staging === undefined) return false;
    const { bytesPerExpert } = this.settings;
    return [...staging.bytes.values()].every((held) => held >= bytesPerExpert);
  }

  private stagedWeights(): EngineAnswer["staged"] {
    const { staging } = this;
    if (staging === undefined) return [];
    return staging.weights.map((weight) => ({
      ...weight,
      bytes: staging.bytes.get(weightKey(weight)) ?? 0,
    }));
  }

  private ownWeights(): readonly ExpertWeightId[] {
    if (this.activeMap === undefined) return [];
    const ranks = ranksOf(this.members, this.settings.member);
    return weightsOf(this.activeMap.map, ranks);
  }
}
