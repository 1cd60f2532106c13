/** Seeded random numbers, so that a run is reproducible from its seed. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Uniform in [0, 1). */
export type Random = () => number;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Integer in [0, limit). */
export function randomBelow(random: Random, limit: number): number {
  return Math.floor(random() * limit);
}
