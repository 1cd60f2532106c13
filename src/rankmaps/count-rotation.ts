/**
 * Selects the ranks whose counts an observation asks for. Counts of a rank add
 * up until they are asked for, so none is lost; a round of all ranks of a wide
 * group would take longer on the planner's link than an observation may.
 */

/** Counts asked for in one observation of the group, bytes. */
const BYTES_PER_ROUND = 32_768;
/** Of a packed count. */
const BYTES_PER_COUNT = 1;

export class CountRotation {
  private next = 0;

  private constructor(private readonly ranksPerRound: number) {}

  /** `counts`: number of counts of one rank. */
  static create(counts: number): CountRotation {
    const bytesPerRank = Math.max(1, counts * BYTES_PER_COUNT);
    return new CountRotation(
      Math.max(1, Math.floor(BYTES_PER_ROUND / bytesPerRank)),
    );
  }

  /** Indexes of the ranks whose turn it is. */
  take(ranks: number): ReadonlySet<number> {
    const taken = new Set<number>();
    for (let one = 0; one < Math.min(ranks, this.ranksPerRound); one += 1) {
      taken.add((this.next + one) % ranks);
    }
    this.next = (this.next + taken.size) % Math.max(1, ranks);
    return taken;
  }
}
