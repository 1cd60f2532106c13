/**
 * Expected state of an id, derived from all of its events without intermediate
 * state. Applies if start times are known and each id has its own addresses.
 * Nothing expires within a history.
 */
import { REPLACEMENT_GRACE_MS } from "../../src/membership/directory.js";
import type { BackendServer } from "../../src/membership/types.js";
import type { RegisterEvent } from "./directory-simulation.js";

interface ExpectedState {
  /** The active registration; undefined if the id gets no requests. */
  readonly server: BackendServer | undefined;
  /** Start times of the incarnations that became the newest one, in order. */
  readonly starts: readonly number[];
}

/** Simulated time, and when the register could be read. */
export interface SimulatedClock {
  readonly nowMs: number;
  /** The given time, or the end of the outage if the store is down then. */
  readonly readableFrom: (atMs: number) => number;
}

function startOf({ startedAtMs }: BackendServer): number {
  return startedAtMs ?? Number.NEGATIVE_INFINITY;
}

export function expectedStateOf(
  id: string,
  events: readonly RegisterEvent[],
  { nowMs, readableFrom }: SimulatedClock,
): ExpectedState {
  const own = events.filter((event) => idOf(event) === id);
  const starts = successiveStarts(own);
  const newest = starts.at(-1);
  const firstIndex = own.findIndex((event) => isOfIncarnation(event, newest));
  const current = newestRecord(own, newest);
  if (current === undefined || current.server.isLeaving) {
    return { server: undefined, starts };
  }
  const replacedAtMs =
    starts.length > 1 ? own[firstIndex].atMs : Number.NEGATIVE_INFINITY;
  const isGone = own.slice(current.index + 1).some((event) => {
    const endMs = endsAtMs(event, replacedAtMs);
    const isKept = endMs > event.atMs;
    return (isKept ? readableFrom(endMs) : endMs) <= nowMs;
  });
  return { server: isGone ? undefined : current.server, starts };
}

function idOf(event: RegisterEvent): string {
  return event.kind === "removed" ? event.id : event.server.id;
}

function isOfIncarnation(
  event: RegisterEvent,
  start: number | undefined,
): boolean {
  return event.kind === "registered" && startOf(event.server) === start;
}

function successiveStarts(own: readonly RegisterEvent[]): readonly number[] {
  const starts: number[] = [];
  for (const event of own) {
    if (event.kind === "removed") continue;
    const start = startOf(event.server);
    if (starts.every((earlier) => earlier < start)) starts.push(start);
  }
  return starts;
}

/**
 * The record of the incarnation with the highest heartbeat; records after its
 * notice to leave don't count.
 */
function newestRecord(
  own: readonly RegisterEvent[],
  start: number | undefined,
): { readonly server: BackendServer; readonly index: number } | undefined {
  let found: { server: BackendServer; index: number } | undefined;
  for (const [index, event] of own.entries()) {
    if (event.kind === "removed" || startOf(event.server) !== start) continue;
    const { server } = event;
    if (found?.server.isLeaving === true) return found;
    const heartbeat = found?.server.heartbeat ?? 0;
    if (server.heartbeat >= heartbeat) found = { server, index };
  }
  return found;
}

/** When the removal takes effect unless a registration follows. */
function endsAtMs(event: RegisterEvent, replacedAtMs: number): number {
  if (event.kind === "registered") return Number.POSITIVE_INFINITY;
  const graceEndsMs = replacedAtMs + REPLACEMENT_GRACE_MS;
  return Math.max(event.atMs, event.outageGraceEndsMs, graceEndsMs);
}
