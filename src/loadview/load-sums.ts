/** Sums of what entries run and hold back in one group. */
import type { EntryLoad, PriorityLoad } from "./types.js";

export interface HeardLoad {
  readonly load: EntryLoad;
  /** Time since the report arrived, ms. */
  readonly ageMs: number;
}

export interface LoadSums {
  readonly limit: number;
  /** From the most urgent one. */
  readonly priorities: readonly PriorityLoad[];
}

export function sumLoads(heard: readonly HeardLoad[]): LoadSums {
  const byPriority = new Map<number, PriorityLoad>();
  let limit = 0;
  for (const { load, ageMs } of heard) {
    limit += load.limit;
    for (const part of load.priorities) {
      const known = byPriority.get(part.priority);
      byPriority.set(part.priority, add(known, part, ageMs));
    }
  }
  const priorities = [...byPriority.values()].sort(
    (a, b) => a.priority - b.priority,
  );
  return { limit, priorities };
}

function add(
  known: PriorityLoad | undefined,
  { priority, running, waiting, oldestWaitMs }: PriorityLoad,
  ageMs: number,
): PriorityLoad {
  const waitMs = waiting === 0 ? 0 : oldestWaitMs + ageMs;
  return {
    priority,
    running: (known?.running ?? 0) + running,
    waiting: (known?.waiting ?? 0) + waiting,
    oldestWaitMs: Math.max(known?.oldestWaitMs ?? 0, waitMs),
  };
}
