/**
 * Looks at all ranks of a group. Counts come at their own pace and in turns, and
 * a rank that is silent for a moment costs its own counts alone: with many ranks
 * there is nearly always one that is late.
 */
import { toFailure, type Now } from "../internal.js";
import type { EngineFigures } from "../routing/types.js";
import type { GroupRank, Observation } from "./types.js";

export interface GroupLookOptions {
  readonly engine: Pick<EngineFigures, "expertSets" | "experts">;
  readonly now: Now;
}

/** What one look has shown. */
export interface Seen {
  /** Monotonic time at which it began, ms. */
  readonly atMs: number;
  /** By index of the ranks if whole; else of those that answered. */
  readonly observations: readonly Observation[];
  readonly isWhole: boolean;
  /** Time since the counts before, ms; undefined for a look without counts. */
  readonly countedMs: number | undefined;
}

/** Between two observations with counts, ms. */
export const COUNT_INTERVAL_MS = 250;
/**
 * Counts that one look asks for, in numbers of a byte: about a tenth of a link
 * of 5.6 Mbit/s at four looks a second. Where a group has more, its ranks take
 * turns; each tells what has come together since its last one.
 */
const COUNTS_EACH_LOOK = 20_000;
/**
 * A rank may be silent for this time, ms. Its answer came too late, or its agent
 * starts again; the group has lost it if it doesn't come back, and shows that by
 * itself.
 */
const LONGEST_SILENCE_MS = 1000;
/** A planner that stood still for longer has missed no more than this, ms. */
const LONGEST_COUNTED_MS = 60_000;

export class GroupLook {
  private countedAtMs = Number.NEGATIVE_INFINITY;
  /** Index of the rank whose counts are asked for next. */
  private nextToCount = 0;
  private wholeAtMs: number;

  private constructor(private readonly options: GroupLookOptions) {
    this.wholeAtMs = options.now();
  }

  static create(options: GroupLookOptions): GroupLook {
    return new GroupLook(options);
  }

  /** Throws 1607 once a rank has been silent for too long. */
  async look(ranks: readonly GroupRank[], withExperts: boolean): Promise<Seen> {
    const atMs = this.options.now();
    const sinceMs = atMs - this.countedAtMs;
    const withCounts = sinceMs >= COUNT_INTERVAL_MS;
    const counted = withCounts ? this.nextCounted(ranks.length) : new Set();
    const looks = await Promise.all(
      ranks.map((rank, index) =>
        observe(rank, { withCounts: counted.has(index), withExperts }),
      ),
    );
    const silent = looks.find((look) => look instanceof Error);
    if (silent === undefined) this.wholeAtMs = atMs;
    else if (atMs - this.wholeAtMs > LONGEST_SILENCE_MS) throw silent;
    if (withCounts) this.countedAtMs = atMs;
    return {
      atMs,
      observations: looks.flatMap((look) =>
        look instanceof Error ? [] : look,
      ),
      isWhole: silent === undefined,
      countedMs: withCounts ? Math.min(sinceMs, LONGEST_COUNTED_MS) : undefined,
    };
  }

  /** The ranks whose turn it is to tell their counts. */
  private nextCounted(ranks: number): ReadonlySet<number> {
    const { expertSets, experts } = this.options.engine;
    const fitting = Math.floor(COUNTS_EACH_LOOK / (expertSets * experts));
    const size = Math.min(ranks, Math.max(1, fitting));
    const first = this.nextToCount;
    this.nextToCount = (first + size) % ranks;
    return new Set(
      Array.from({ length: size }, (_, index) => (first + index) % ranks),
    );
  }
}

async function observe(
  rank: GroupRank,
  request: Parameters<GroupRank["observe"]>[0],
): Promise<Observation | Error> {
  try {
    return await rank.observe(request);
  } catch (error) {
    return toFailure(error, 1607);
  }
}
