/**
 * The expert map side of one stand-in engine: the register that the published
 * interface in docs/PLATFORM-ENGINE.md describes. It only ever answers calls.
 */
import {
  compareBallots,
  hashMap,
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
  type WeightName,
} from "../src/internal.js";

export interface RegisterSettings {
  readonly member: string;
  readonly engine: string;
  readonly bytesPerExpert: number;
}

export interface InForce {
  readonly version: number;
  readonly map: ExpertMap;
  readonly since: number;
  readonly origin: Ballot | null;
}

/** What an engine answers, and whether it did what it was told. */
export interface RegisterAnswer {
  readonly accepted: boolean;
  readonly answer: EngineAnswer;
}

interface StagingSet {
  readonly hash: string;
  readonly bytes: Map<string, number>;
  readonly weights: readonly WeightName[];
}

export class MapRegister {
  group: Ballot | null = null;
  members: readonly GroupMember[] = [];
  step = 0;
  inForce: InForce | undefined;
  armed: ArmedProposal | null = null;
  private heldSince: number | undefined;
  private heldBeforeMs = 0;
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
    const withMaps =
      call.kind === "seal" || (call.kind === "read" && call.withMap);
    const answer: EngineAnswer = {
      state: this.state(now),
      map: withMaps ? (this.inForce?.map ?? null) : null,
      armedMap: withMaps ? this.armedMap : null,
      staged: call.kind === "stage" ? this.stagedWeights() : null,
    };
    return { accepted, answer };
  }

  state(now: number): EngineMapState {
    const { inForce, settings, heldSince, staging } = this;
    const heldMs = heldSince === undefined ? 0 : Math.max(1, now - heldSince);
    return {
      engine: settings.engine,
      group: this.group,
      members: this.members,
      sealed: this.sealed,
      version: inForce?.version ?? 0,
      mapHash: inForce === undefined ? "" : hashMap(inForce.map),
      since: inForce?.since ?? 0,
      origin: inForce?.origin ?? null,
      armed: this.armed,
      floor: this.floor,
      step: this.step,
      stepMs: this.stepMs,
      heldMs,
      heldTotalMs: this.heldBeforeMs + heldMs,
      stagingHash: staging?.hash ?? "",
      stagingComplete: this.isComplete(staging),
    };
  }

  /** Takes a part of weights; returns the bytes held of them now. */
  putWeight(weight: WeightName, offset: number, length: number): number {
    const { staging } = this;
    const key = weightKey(weight);
    const held = staging?.bytes.get(key);
    if (staging === undefined || held === undefined) return 0;
    // A part that isn't the next one leaves a hole; the sender reads on from
    // what is held.
    const next = offset === held ? held + length : held;
    const whole = Math.min(next, this.settings.bytesPerExpert);
    staging.bytes.set(key, whole);
    return whole;
  }

  /** At the step of a proposal, and not able to begin it. */
  mustHold(now: number): boolean {
    const { armed, step, staging } = this;
    const holds =
      armed !== null &&
      step >= armed.proposal.step &&
      (!armed.committed || staging?.hash !== armed.proposal.mapHash);
    if (holds) this.heldSince ??= now;
    else if (this.heldSince !== undefined) {
      this.heldBeforeMs += now - this.heldSince;
      this.heldSince = undefined;
    }
    return holds;
  }

  /** Switches at the step of a committed proposal. */
  reachStep(): void {
    const { armed, armedMap } = this;
    if (armed?.committed !== true || armedMap === null) return;
    if (this.step < armed.proposal.step) return;
    const { version, id } = armed.proposal;
    this.inForce = { version, map: armedMap, since: this.step, origin: id };
    this.clearArmed(id);
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

  private stage(hash: string, weights: readonly WeightName[]): boolean {
    // A promised engine that is armed stages for the formation, or it could
    // never join; should a commit come after all, it holds (see mustHold).
    const isPromised = !sameBallot(this.sealed, this.group);
    if (this.armed !== null && !isPromised) return false;
    const held = new Set(this.ownWeights().map(weightKey));
    const missing = weights.filter((item) => !held.has(weightKey(item)));
    const known = this.staging?.bytes;
    const bytes = new Map(
      missing.map((item) => {
        const key = weightKey(item);
        return [key, known?.get(key) ?? 0];
      }),
    );
    this.staging = { hash, bytes, weights: missing };
    return true;
  }

  private arm(proposal: Proposal, map: ExpertMap): boolean {
    if (this.isArmed(proposal)) return true;
    const possible =
      sameBallot(this.group, proposal.group) &&
      sameBallot(this.sealed, proposal.group) &&
      this.armed === null &&
      proposal.version === this.state(0).version + 1 &&
      proposal.step > this.step &&
      compareBallots(proposal.id, this.floor) > 0 &&
      this.staging?.hash === proposal.mapHash &&
      this.isComplete(this.staging);
    if (!possible) return false;
    this.armed = { proposal, committed: false };
    this.armedMap = map;
    return true;
  }

  private refuse(proposal: Proposal): boolean {
    if (!sameBallot(this.group, proposal.group)) return false;
    if (this.isArmed(proposal)) return false;
    if (sameBallot(this.inForce?.origin ?? null, proposal.id)) return false;
    this.floor = higherBallot(this.floor, proposal.id);
    return true;
  }

  private commit(proposal: Proposal): boolean {
    if (!sameBallot(this.group, proposal.group)) return false;
    if (this.isArmed(proposal)) {
      this.armed = { proposal, committed: true };
      return true;
    }
    return sameBallot(this.inForce?.origin ?? null, proposal.id);
  }

  private abort(proposal: Proposal): boolean {
    if (!sameBallot(this.group, proposal.group)) return false;
    if (this.isArmed(proposal) && this.armed?.committed === true) return false;
    if (this.isArmed(proposal)) this.clearArmed(proposal.id);
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
    const hash = hashMap(map);
    if (this.staging?.hash !== hash || !this.isComplete(this.staging)) {
      return false;
    }
    this.group = formation;
    this.members = members;
    this.inForce = { version, map, since: 0, origin: null };
    this.step = 0;
    this.armed = null;
    this.armedMap = null;
    this.floor = lowestBallot;
    this.staging = undefined;
    return true;
  }

  private clearArmed(id: Ballot): void {
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

  private ownWeights(): readonly WeightName[] {
    if (this.inForce === undefined) return [];
    const ranks = ranksOf(this.members, this.settings.member);
    return weightsOf(this.inForce.map, ranks);
  }
}
