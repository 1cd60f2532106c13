/**
 * An expert map as its differences from an earlier one. A switch moves few
 * experts, while the whole map of a wide group, sent to every rank, occupies
 * the planner's link for as long as a second.
 *
 * A digest of the whole map that results guards against a base that differs in
 * spite of its version: a rank that prepared another map than the others would
 * break the rule of one map in each step, and ranks don't compare maps.
 */
import { createHash } from "node:crypto";
import type { MapSets } from "./types.js";

/** All experts of one rank in one set. */
export interface RankChange {
  readonly set: number;
  readonly rank: number;
  readonly experts: readonly number[];
}

/** A map that the agent of a rank assembles from one that it knows. */
export interface MapChange {
  readonly version: number;
  readonly baseVersion: number;
  readonly changes: readonly RankChange[];
  readonly digest: Uint8Array;
}

interface VersionedMap {
  readonly version: number;
  readonly sets: MapSets;
}

const DIGEST_BYTES = 16;
/** Set, rank and number of experts. */
const HEADER_NUMBERS = 3;
/** Separates the experts of two ranks; no expert has this number. */
const SEPARATOR = 0xffffffff;

const digests = new WeakMap<MapSets, Uint8Array>();
const lastChanges = new WeakMap<
  MapSets,
  { readonly base: MapSets; readonly change: MapChange | undefined }
>();

/**
 * Undefined if the maps have different numbers of sets or ranks. The change
 * from the last base is kept: all ranks of a group get the same one.
 */
export function changeBetween(
  base: VersionedMap,
  next: VersionedMap,
): MapChange | undefined {
  const known = lastChanges.get(next.sets);
  const isKnown =
    known?.base === base.sets &&
    known.change?.version === next.version &&
    known.change.baseVersion === base.version;
  if (isKnown) return known.change;
  const change = computeChange(base, next);
  lastChanges.set(next.sets, { base: base.sets, change });
  return change;
}

function computeChange(
  base: VersionedMap,
  next: VersionedMap,
): MapChange | undefined {
  if (!hasSameShape(base.sets, next.sets)) return undefined;
  const changes = next.sets.flatMap((ranks, set) =>
    ranks.flatMap((experts, rank) =>
      hasSameExperts(base.sets[set][rank], experts)
        ? []
        : [{ set, rank, experts }],
    ),
  );
  const digest = digestOf(next.sets);
  return { version: next.version, baseVersion: base.version, changes, digest };
}

/** Undefined if the result isn't the map that the sender has. */
export function applyChange(
  base: MapSets,
  { changes, digest }: MapChange,
): MapSets | undefined {
  const sets = base.map((ranks) => [...ranks]);
  for (const { set, rank, experts } of changes) {
    if (base.at(set)?.at(rank) === undefined) return undefined;
    sets[set][rank] = experts;
  }
  return Buffer.compare(digestOf(sets), digest) === 0 ? sets : undefined;
}

/** One list of numbers, as the message carries them. */
export function packChanges(changes: readonly RankChange[]): readonly number[] {
  return changes.flatMap(({ set, rank, experts }) => [
    set,
    rank,
    experts.length,
    ...experts,
  ]);
}

/** The digest of the map shows whether the list was complete. */
export function unpackChanges(packed: readonly number[]): RankChange[] {
  const changes: RankChange[] = [];
  for (let index = 0; index + HEADER_NUMBERS <= packed.length;) {
    const [set, rank, length] = packed.slice(index, index + HEADER_NUMBERS);
    const start = index + HEADER_NUMBERS;
    index = start + length;
    changes.push({ set, rank, experts: packed.slice(start, index) });
  }
  return changes;
}

/** Doesn't depend on the order in which a rank's experts are listed. */
function digestOf(sets: MapSets): Uint8Array {
  const known = digests.get(sets);
  if (known !== undefined) return known;
  const numbers = sets.flatMap((ranks) => [
    ranks.length,
    ...ranks.flatMap((experts) => [...sorted(experts), SEPARATOR]),
  ]);
  const digest = createHash("sha256")
    .update(Uint32Array.from(numbers))
    .digest()
    .subarray(0, DIGEST_BYTES);
  digests.set(sets, digest);
  return digest;
}

function hasSameShape(one: MapSets, other: MapSets): boolean {
  return (
    one.length === other.length &&
    one.every((ranks, set) => ranks.length === other[set].length)
  );
}

function hasSameExperts(
  one: readonly number[],
  other: readonly number[],
): boolean {
  if (one.length !== other.length) return false;
  if (one.every((expert, index) => expert === other[index])) return true;
  const expected = sorted(other);
  return sorted(one).every((expert, index) => expert === expected[index]);
}

function sorted(experts: readonly number[]): readonly number[] {
  return experts.toSorted((a, b) => a - b);
}
