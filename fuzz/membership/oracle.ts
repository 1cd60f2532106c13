/**
 * Who may get work, by a reading of all that ever happened to an id, with no
 * state in between. Holds where starts are told and each id has addresses of
 * its own; nothing is forgotten within a history.
 */
import { REPLACED_GRACE_MS } from "../../src/membership/directory.js";
import type { BackendServer } from "../../src/membership/types.js";
import type { Fact } from "./world.js";

interface Reading {
  /** The registration that counts; undefined when the id gets no work. */
  readonly server: BackendServer | undefined;
  /** Starts of the lives that were the newest one in turn. */
  readonly lives: readonly number[];
}

/** The world's time, and when the register could be read in it. */
export interface Clock {
  readonly nowMs: number;
  /** The moment, or where the store is away then, its next return. */
  readonly readableFrom: (atMs: number) => number;
}

function startOf({ startedAtMs }: BackendServer): number {
  return startedAtMs ?? Number.NEGATIVE_INFINITY;
}

export function readId(
  id: string,
  facts: readonly Fact[],
  { nowMs, readableFrom }: Clock,
): Reading {
  const own = facts.filter((fact) => idOf(fact) === id);
  const lives = newestInTurn(own);
  const newest = lives.at(-1);
  const firstAt = own.findIndex((fact) => isOfLife(fact, newest));
  const current = newestRecord(own, newest);
  if (current === undefined || current.server.isLeaving) {
    return { server: undefined, lives };
  }
  const replacedAtMs =
    lives.length > 1 ? own[firstAt].atMs : Number.NEGATIVE_INFINITY;
  const isGone = own.slice(current.index + 1).some((fact) => {
    const endMs = endsAtMs(fact, replacedAtMs);
    const isKept = endMs > fact.atMs;
    return (isKept ? readableFrom(endMs) : endMs) <= nowMs;
  });
  return { server: isGone ? undefined : current.server, lives };
}

function idOf(fact: Fact): string {
  return fact.kind === "removed" ? fact.id : fact.server.id;
}

function isOfLife(fact: Fact, start: number | undefined): boolean {
  return fact.kind === "registered" && startOf(fact.server) === start;
}

function newestInTurn(own: readonly Fact[]): readonly number[] {
  const lives: number[] = [];
  for (const fact of own) {
    if (fact.kind === "removed") continue;
    const start = startOf(fact.server);
    if (lives.every((life) => life < start)) lives.push(start);
  }
  return lives;
}

/** What a life said last by its own count; nothing follows its leaving. */
function newestRecord(
  own: readonly Fact[],
  start: number | undefined,
): { readonly server: BackendServer; readonly index: number } | undefined {
  let found: { server: BackendServer; index: number } | undefined;
  for (const [index, fact] of own.entries()) {
    if (fact.kind === "removed" || startOf(fact.server) !== start) continue;
    const { server } = fact;
    if (found?.server.isLeaving === true) return found;
    const heartbeat = found?.server.heartbeat ?? 0;
    if (server.heartbeat >= heartbeat) found = { server, index };
  }
  return found;
}

/** When the removal takes effect unless a registration follows. */
function endsAtMs(fact: Fact, replacedAtMs: number): number {
  if (fact.kind === "registered") return Number.POSITIVE_INFINITY;
  const graceEndsMs = replacedAtMs + REPLACED_GRACE_MS;
  return Math.max(fact.atMs, fact.outageGraceEndsMs, graceEndsMs);
}
