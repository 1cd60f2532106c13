/**
 * Keeps a record of how much of the foretold benefit of new maps came true.
 * Demand that swings faster than maps can follow makes every plan look good
 * when it is made and worthless when it is in force: each swing would be
 * chased with bytes and the group would be out of step with it all the same.
 *
 * One plan at a time is put to the proof, whether it was carried out or not:
 * the old and the new map are compared on the load that came later. So
 * confidence comes back without a move once plans would have paid again.
 */
import { savedShareOn } from "./load-history.js";
import type { ExpertMap, RankState } from "./types.js";

/**
 * Windows that pass before a new map is in force: reports are one window late,
 * transfer and agreement take one to two.
 */
const DELAY_WINDOWS = 3;
/** Windows compared: long enough to see a swing of minutes come and go. */
const PROOF_WINDOWS = 12;
/** Weight of the newest proof; three bad ones make a plan count an eighth. */
const SMOOTHING = 0.5;

interface Proof {
  readonly from: ExpertMap;
  readonly to: ExpertMap;
  readonly foretoldShare: number;
  windows: number;
  savedShare: number;
}

export class BenefitRecord {
  private proof: Proof | undefined;
  private trust = 1;

  private constructor() {
    // Made by create.
  }

  static create(): BenefitRecord {
    return new BenefitRecord();
  }

  /** Share of a foretold benefit that can be counted on, 0 to 1. */
  get confidence(): number {
    return this.trust;
  }

  /** Puts a plan to the proof, unless another one is. */
  start(from: ExpertMap, to: ExpertMap, foretoldShare: number): void {
    if (foretoldShare <= 0) return;
    this.proof ??= { from, to, foretoldShare, windows: 0, savedShare: 0 };
  }

  /** Takes in the load of a window. */
  observe(tokens: ArrayLike<number>, ranks: RankState): void {
    const { proof } = this;
    if (proof === undefined) return;
    proof.windows++;
    if (proof.windows <= DELAY_WINDOWS) return;
    proof.savedShare += savedShareOn(tokens, proof.from, proof.to, ranks);
    if (proof.windows === DELAY_WINDOWS + PROOF_WINDOWS) this.conclude(proof);
  }

  private conclude(proof: Proof): void {
    const cameTrue = proof.savedShare / PROOF_WINDOWS / proof.foretoldShare;
    const share = Math.min(Math.max(cameTrue, 0), 1);
    this.trust += SMOOTHING * (share - this.trust);
    this.proof = undefined;
  }
}
