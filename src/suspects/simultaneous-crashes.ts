/** Relates crashes to those of other servers at about the same time. */
import type { Crash } from "./crash.js";
import { MAXIMUM_SAME_TIME_MS, canBeCause } from "./crash-evidence.js";

/**
 * Those of the crashes that took most of the servers that crashed at about the
 * same time. Both lists are ordered by time, and `all` contains the other.
 */
export function commonCrashes(
  crashes: readonly Crash[],
  all: readonly Crash[],
): readonly Crash[] {
  const countAll = simultaneousCounter(all);
  const countOwn = simultaneousCounter(crashes);
  return crashes.filter((crash) =>
    canBeCause(countOwn(crash), countAll(crash)),
  );
}

/** Returns a function to be called with crashes in the order of their time. */
function simultaneousCounter(
  crashes: readonly Crash[],
): (crash: Crash) => number {
  let from = 0;
  let to = 0;
  return ({ lostAtMs }) => {
    while (
      from < crashes.length &&
      crashes[from].lostAtMs <= lostAtMs - MAXIMUM_SAME_TIME_MS
    )
      from += 1;
    to = Math.max(to, from);
    while (
      to < crashes.length &&
      crashes[to].lostAtMs < lostAtMs + MAXIMUM_SAME_TIME_MS
    )
      to += 1;
    return to - from;
  };
}
