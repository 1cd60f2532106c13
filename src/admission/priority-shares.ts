/**
 * Divides the limit of running requests of a group among its entries by what
 * each has to run. The most urgent requests of all entries come first, whichever
 * entry holds them, and within a priority each entry gets the part that its own
 * requests are of all. Every entry computes its own share from the same sums, so
 * that the shares add up to the limit without any message but the sums.
 */
import { LOWER_PRIORITY_SHARE } from "./pool-queue.js";
import type { PriorityLoad } from "../loadview/types.js";

export interface ShareInputs {
  /** Requests that all entries together may run. */
  readonly capacity: number;
  /** Number of entries, this one included. */
  readonly entries: number;
  /** Sums over all entries. */
  readonly total: readonly PriorityLoad[];
  /** What this entry contributed to the sums. */
  readonly own: readonly PriorityLoad[];
}

export interface PriorityGrant {
  readonly priority: number;
  /** Requests of the priority that the entry may run. */
  readonly limit: number;
}

export interface EntryShare {
  /** Requests that the entry may run; over all entries they add up. */
  readonly limit: number;
  /**
   * Requests that the entry may run at once: while other entries still run more
   * than their shares, places move only as they become free.
   */
  readonly startable: number;
  /**
   * Requests that each priority may run, most urgent first; empty while there
   * is room for all.
   */
  readonly grants: readonly PriorityGrant[];
}

interface Demand {
  readonly priority: number;
  readonly total: number;
  readonly totalRunning: number;
  readonly own: number;
}

/** Maximum part of the capacity that is divided equally whatever the demand. */
const MAXIMUM_EQUAL_SHARE = 0.5;
/** Part of the room that nobody needs that is divided equally. */
const EQUAL_SHARE_OF_ROOM = 0.5;

export function shareOf({
  capacity,
  entries,
  total,
  own,
}: ShareInputs): EntryShare {
  const demands = demandsOf(total, own);
  // One place for each entry, so that it can start a request before the others
  // hear of it.
  const equal = Math.min(1, (capacity * MAXIMUM_EQUAL_SHARE) / entries);
  const divided = capacity - equal * entries;
  const granted = grantByPriority(demands, divided);
  const ownGrants = demands.map((demand, index) =>
    partOf(granted[index], demand.own, demand.total),
  );
  const room = divided - sum(granted);
  const limit = equal + sum(ownGrants) + roomOf(room, entries, demands);
  const ownRunning = sum(own.map(({ running }) => running));
  const wanted = wantedOf(demands, granted);
  const free = capacity - sum(demands.map(({ totalRunning }) => totalRunning));
  return {
    limit,
    startable: Math.max(equal, startableOf(limit, ownRunning, free, wanted)),
    grants: room > 0 ? [] : grantsOf(demands, ownGrants, equal),
  };
}

/**
 * Grants each priority what it demands, except that a part is kept for less
 * urgent ones as long as there are any.
 */
function grantByPriority(
  demands: readonly Demand[],
  capacity: number,
): readonly number[] {
  let left = capacity;
  let lower = sum(demands.map(({ total }) => total));
  return demands.map(({ total }) => {
    lower -= total;
    const kept = Math.min(lower, capacity * LOWER_PRIORITY_SHARE);
    const granted = Math.max(0, Math.min(total, left - kept));
    left -= granted;
    return granted;
  });
}

/** This entry's part of the room that nobody needs now. */
function roomOf(
  room: number,
  entries: number,
  demands: readonly Demand[],
): number {
  const total = sum(demands.map((demand) => demand.total));
  const own = sum(demands.map((demand) => demand.own));
  const equal = (total > 0 ? EQUAL_SHARE_OF_ROOM : 1) / entries;
  return room * (equal + partOf(1 - EQUAL_SHARE_OF_ROOM, own, total));
}

/** Requests that all entries together may start if there are free places. */
function wantedOf(
  demands: readonly Demand[],
  granted: readonly number[],
): number {
  return sum(
    demands.map(({ totalRunning }, index) =>
      Math.max(0, granted[index] - totalRunning),
    ),
  );
}

/** The entry may take its part of the free places towards its limit. */
function startableOf(
  limit: number,
  ownRunning: number,
  free: number,
  wanted: number,
): number {
  if (limit <= ownRunning || free >= wanted) return limit;
  const part = Math.max(0, free / wanted);
  return ownRunning + (limit - ownRunning) * part;
}

/** The place that each entry has in any case is for its most urgent ones. */
function grantsOf(
  demands: readonly Demand[],
  ownGrants: readonly number[],
  equal: number,
): readonly PriorityGrant[] {
  return demands.map(({ priority }, index) => ({
    priority,
    limit: ownGrants[index] + (index === 0 ? equal : 0),
  }));
}

/** Most urgent first. An entry may know of requests that the sums lack. */
function demandsOf(
  total: readonly PriorityLoad[],
  own: readonly PriorityLoad[],
): readonly Demand[] {
  const priorities = new Set(
    [...total, ...own].map(({ priority }) => priority),
  );
  return [...priorities]
    .sort((one, other) => one - other)
    .map((priority) => {
      const ownDemand = requestsOf(own, priority);
      return {
        priority,
        total: Math.max(requestsOf(total, priority), ownDemand),
        totalRunning: runningOf(total, priority),
        own: ownDemand,
      };
    });
}

function requestsOf(loads: readonly PriorityLoad[], priority: number): number {
  return sum(
    loads
      .filter((load) => load.priority === priority)
      .map(({ running, waiting }) => running + waiting),
  );
}

function runningOf(loads: readonly PriorityLoad[], priority: number): number {
  return sum(
    loads
      .filter((load) => load.priority === priority)
      .map(({ running }) => running),
  );
}

function partOf(value: number, part: number, whole: number): number {
  return whole > 0 ? (value * part) / whole : 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
