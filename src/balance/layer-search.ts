/**
 * Local search in one layer: each step relieves the slowest rank by the change
 * with the greatest gain per expert fetched. A change either gives an expert
 * one more replica in place of a redundant one (one fetch) or swaps two experts
 * between ranks (two fetches).
 *
 * Sized for 64 ranks of 3 slots and 128 experts per layer: a step compares
 * about 1,400 changes, each in a few additions, so that 60 layers fit into the
 * planner's 50 ms.
 */
import { EMPTY_SLOT, type GroupShape } from "./types.js";

/** Smallest gain, relative to the layer's time, that is worth a fetch. */
const MINIMUM_RELATIVE_GAIN = 1e-4;

const NO_SWAP = -1;

/** An applied change and the slowest rank's time after it. */
export interface SearchStep {
  readonly slots: readonly number[];
  readonly experts: readonly number[];
  readonly slowest: number;
}

interface CandidateChange {
  readonly slot: number;
  /** Expert that is put into the slot. */
  readonly expert: number;
  /** Slot that swaps its expert with `slot`, or NO_SWAP. */
  readonly swappedSlot: number;
}

export class LayerSearch {
  private readonly slots: Int16Array;
  private readonly rankOfSlot: Int16Array;
  private readonly replicas: Int16Array;
  /** Tokens per replica of each expert. */
  private readonly shares: Float64Array;
  /**
   * Ranks holding each expert, at expert * ranks + n for n below `replicas`.
   */
  private readonly holders: Int16Array;
  /** 1 if a rank holds an expert, at expert * ranks + rank. */
  private readonly holds: Uint8Array;
  private readonly tokens: Float64Array;
  private readonly times: Float64Array;
  private readonly slowness: Float64Array;
  /** 1 for each rank that must not receive another expert. */
  private readonly closedRanks: Uint8Array;
  private best: CandidateChange | undefined;
  private bestGain = 0;

  private constructor(private readonly shape: GroupShape) {
    const { ranks, experts, slotsPerRank } = shape;
    this.slots = new Int16Array(ranks * slotsPerRank);
    this.rankOfSlot = this.slots.map((_, slot) =>
      Math.floor(slot / slotsPerRank),
    );
    this.replicas = new Int16Array(experts);
    this.shares = new Float64Array(experts);
    this.holders = new Int16Array(experts * ranks);
    this.holds = new Uint8Array(experts * ranks);
    this.tokens = new Float64Array(experts);
    this.times = new Float64Array(ranks);
    this.slowness = new Float64Array(ranks);
    this.closedRanks = new Uint8Array(ranks);
  }

  /** Allocates the buffers once; `load` reuses them for each layer. */
  static create(shape: GroupShape): LayerSearch {
    return new LayerSearch(shape);
  }

  /**
   * Loads a layer: its slots, the tokens per expert, and per rank the request
   * work in this layer and the speed.
   */
  load(
    slots: ArrayLike<number>,
    tokens: ArrayLike<number>,
    requestTokens: ArrayLike<number>,
    speeds: ArrayLike<number>,
  ): void {
    this.closedRanks.fill(0);
    this.replicas.fill(0);
    this.holds.fill(0);
    this.tokens.set(tokens);
    this.slots.fill(EMPTY_SLOT);
    for (let slot = 0; slot < this.slots.length; slot++) {
      if (slots[slot] !== EMPTY_SLOT) this.placeExpert(slot, slots[slot]);
    }
    for (let rank = 0; rank < this.shape.ranks; rank++) {
      this.slowness[rank] = 1 / speeds[rank];
      this.times[rank] = requestTokens[rank] / speeds[rank];
    }
    for (let slot = 0; slot < this.slots.length; slot++) {
      const expert = this.slots[slot];
      if (expert === EMPTY_SLOT) continue;
      const rank = this.rankOfSlot[slot];
      this.times[rank] += this.shares[expert] * this.slowness[rank];
    }
  }

  get slowest(): number {
    return this.times[this.slowestRank()];
  }

  /**
   * Standard deviation of the slowest rank's time, from the tokens' variance.
   */
  slowestDeviation(variance: ArrayLike<number>): number {
    const slowest = this.slowestRank();
    const start = slowest * this.shape.slotsPerRank;
    let total = 0;
    for (let slot = start; slot < start + this.shape.slotsPerRank; slot++) {
      const expert = this.slots[slot];
      if (expert === EMPTY_SLOT) continue;
      total += variance[expert] / this.replicas[expert] ** 2;
    }
    return Math.sqrt(total) * this.slowness[slowest];
  }

  /** Stops further steps from moving experts to the rank until `load`. */
  closeRank(rank: number): void {
    this.closedRanks[rank] = 1;
  }

  /** Slots of the layer after the steps taken so far. */
  get currentSlots(): ArrayLike<number> {
    return this.slots;
  }

  /** Takes up to `limit` steps, each relieving the slowest rank. */
  improve(limit: number): readonly SearchStep[] {
    const steps: SearchStep[] = [];
    while (steps.length < limit) {
      const change = this.bestChange();
      if (change === undefined) break;
      steps.push(this.apply(change));
    }
    return steps;
  }

  private slowestRank(): number {
    let slowest = 0;
    for (let rank = 1; rank < this.times.length; rank++) {
      if (this.times[rank] > this.times[slowest]) slowest = rank;
    }
    return slowest;
  }

  private bestChange(): CandidateChange | undefined {
    const slowest = this.slowestRank();
    const start = slowest * this.shape.slotsPerRank;
    this.best = undefined;
    this.bestGain = this.times[slowest] * MINIMUM_RELATIVE_GAIN;
    for (let slot = start; slot < start + this.shape.slotsPerRank; slot++) {
      const expert = this.slots[slot];
      if (expert === EMPTY_SLOT) continue;
      this.considerReplicas(slowest, expert);
      this.considerSwaps(slowest, slot, expert);
      if (this.replicas[expert] > 1) this.considerDropping(slowest, slot);
    }
    return this.best;
  }

  /** Considers replicating an expert of the slowest rank on another rank. */
  private considerReplicas(slowest: number, expert: number): void {
    const share = this.tokens[expert] / (this.replicas[expert] + 1);
    const before = this.times[slowest];
    for (let slot = 0; slot < this.slots.length; slot++) {
      // The cheapest check goes first, as it rules out most slots.
      const targetTime = this.timeAfterPlacing(slot, share);
      if (before - targetTime <= this.bestGain) continue;
      const rank = this.rankOfSlot[slot];
      if (rank === slowest || this.isHeld(expert, rank)) continue;
      if (this.closedRanks[rank] === 1 || !this.isRedundant(slot)) continue;
      this.considerPlacing(slowest, slot, expert, targetTime);
    }
  }

  /** Considers replacing a redundant replica by an expert with less load. */
  private considerDropping(slowest: number, slot: number): void {
    if (this.closedRanks[slowest] === 1) return;
    const before = this.times[slowest];
    for (let expert = 0; expert < this.replicas.length; expert++) {
      const share = this.tokens[expert] / (this.replicas[expert] + 1);
      const targetTime = this.timeAfterPlacing(slot, share);
      if (before - targetTime <= this.bestGain) continue;
      if (this.isHeld(expert, slowest)) continue;
      this.considerPlacing(slowest, slot, expert, targetTime);
    }
  }

  /** Time of a slot's rank after an expert with this share takes the slot. */
  private timeAfterPlacing(slot: number, share: number): number {
    const dropped = this.slots[slot];
    const droppedShare = dropped === EMPTY_SLOT ? 0 : this.shares[dropped];
    const rank = this.rankOfSlot[slot];
    return this.times[rank] + (share - droppedShare) * this.slowness[rank];
  }

  private isRedundant(slot: number): boolean {
    const expert = this.slots[slot];
    return expert === EMPTY_SLOT || this.replicas[expert] > 1;
  }

  private isHeld(expert: number, rank: number): boolean {
    return this.holds[expert * this.shape.ranks + rank] === 1;
  }

  /** `targetTime` is the time of the slot's rank after the change. */
  private considerPlacing(
    slowest: number,
    slot: number,
    added: number,
    targetTime: number,
  ): void {
    const before = this.times[slowest];
    const dropped = this.slots[slot];
    const target = this.rankOfSlot[slot];
    const replicas = this.replicas[added];
    const shareReduction =
      this.shares[added] - this.tokens[added] / (replicas + 1);
    let slowestAffected = targetTime;
    if (target !== slowest) {
      slowestAffected = Math.max(
        slowestAffected,
        before - shareReduction * this.slowness[slowest],
      );
    }
    if (before - slowestAffected <= this.bestGain) return;
    const slowestHolderTime = this.slowestAfterDrop(
      dropped,
      added,
      target,
      shareReduction,
    );
    slowestAffected = Math.max(slowestAffected, slowestHolderTime);
    const gain = before - slowestAffected;
    if (gain <= this.bestGain) return;
    this.bestGain = gain;
    this.best = { slot, expert: added, swappedSlot: NO_SWAP };
  }

  /** Greatest time among the ranks that take over a dropped replica's share. */
  private slowestAfterDrop(
    dropped: number,
    added: number,
    target: number,
    shareReduction: number,
  ): number {
    if (dropped === EMPTY_SLOT) return 0;
    const replicas = this.replicas[dropped];
    const extra = this.tokens[dropped] / (replicas - 1) - this.shares[dropped];
    const first = dropped * this.shape.ranks;
    let slowest = 0;
    for (let index = first; index < first + replicas; index++) {
      const rank = this.holders[index];
      if (rank === target) continue;
      const work = this.isHeld(added, rank) ? extra - shareReduction : extra;
      const time = this.times[rank] + work * this.slowness[rank];
      if (time > slowest) slowest = time;
    }
    return slowest;
  }

  private considerSwaps(
    slowest: number,
    ownSlot: number,
    expert: number,
  ): void {
    if (this.closedRanks[slowest] === 1) return;
    const { shares, times, slowness, rankOfSlot } = this;
    const before = times[slowest];
    const share = shares[expert];
    for (let slot = 0; slot < this.slots.length; slot++) {
      const other = this.slots[slot];
      if (other === EMPTY_SLOT) continue;
      const work = share - shares[other];
      // A swap costs two fetches, so it must gain twice as much.
      const limit = before - 2 * this.bestGain;
      const ownTimeAfter = before - work * slowness[slowest];
      if (ownTimeAfter >= limit) continue;
      const rank = rankOfSlot[slot];
      if (this.closedRanks[rank] === 1) continue;
      const otherTimeAfter = times[rank] + work * slowness[rank];
      if (otherTimeAfter >= limit) continue;
      if (this.isHeld(other, slowest) || this.isHeld(expert, rank)) continue;
      this.bestGain = (before - Math.max(ownTimeAfter, otherTimeAfter)) / 2;
      this.best = { slot, expert, swappedSlot: ownSlot };
    }
  }

  private apply(change: CandidateChange): SearchStep {
    const { slot, expert, swappedSlot } = change;
    if (swappedSlot === NO_SWAP) {
      this.replace(slot, expert);
      return { slots: [slot], experts: [expert], slowest: this.slowest };
    }
    const other = this.slots[slot];
    this.swap(swappedSlot, slot);
    return {
      slots: [slot, swappedSlot],
      experts: [expert, other],
      slowest: this.slowest,
    };
  }

  private replace(slot: number, added: number): void {
    const dropped = this.slots[slot];
    this.addExpertWork(added, -1);
    if (dropped !== EMPTY_SLOT) {
      this.addExpertWork(dropped, -1);
      this.removeExpert(slot);
      this.addExpertWork(dropped, 1);
    }
    this.placeExpert(slot, added);
    this.addExpertWork(added, 1);
  }

  private swap(firstSlot: number, secondSlot: number): void {
    const firstExpert = this.slots[firstSlot];
    const secondExpert = this.slots[secondSlot];
    const work = this.shares[firstExpert] - this.shares[secondExpert];
    const firstRank = this.rankOfSlot[firstSlot];
    const secondRank = this.rankOfSlot[secondSlot];
    this.times[firstRank] -= work * this.slowness[firstRank];
    this.times[secondRank] += work * this.slowness[secondRank];
    this.removeExpert(firstSlot);
    this.removeExpert(secondSlot);
    this.placeExpert(firstSlot, secondExpert);
    this.placeExpert(secondSlot, firstExpert);
  }

  /** Adds (1) or subtracts (-1) an expert's work on all ranks that hold it. */
  private addExpertWork(expert: number, sign: number): void {
    const replicas = this.replicas[expert];
    if (replicas === 0) return;
    const work = (sign * this.tokens[expert]) / replicas;
    const first = expert * this.shape.ranks;
    for (let index = first; index < first + replicas; index++) {
      const rank = this.holders[index];
      this.times[rank] += work * this.slowness[rank];
    }
  }

  private placeExpert(slot: number, expert: number): void {
    const first = expert * this.shape.ranks;
    const rank = this.rankOfSlot[slot];
    this.holders[first + this.replicas[expert]] = rank;
    this.replicas[expert]++;
    this.shares[expert] = this.tokens[expert] / this.replicas[expert];
    this.holds[first + rank] = 1;
    this.slots[slot] = expert;
  }

  private removeExpert(slot: number): void {
    const expert = this.slots[slot];
    const first = expert * this.shape.ranks;
    const rank = this.rankOfSlot[slot];
    const last = first + this.replicas[expert] - 1;
    const index = this.holders.indexOf(rank, first);
    this.holders[index] = this.holders[last];
    this.replicas[expert]--;
    this.shares[expert] = this.tokens[expert] / this.replicas[expert];
    this.holds[first + rank] = 0;
    this.slots[slot] = EMPTY_SLOT;
  }
}
