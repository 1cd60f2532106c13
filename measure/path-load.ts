/**
 * Load generator of the path measurement: open-loop calls and token streams.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import type { Random } from "../src/internal.js";

const MICROSECONDS_PER_MS = 1000;
const MAXIMUM_LATENCY_US = 60_000_000;

export interface Target {
  readonly pool: Pool;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

export function createTarget(
  address: string,
  headers: Readonly<Record<string, string>>,
): Target {
  const pool = new Pool(address, { connections: 512, pipelining: 1 });
  return { pool, path: "/v1/completions", headers };
}

export function createHistogram(): Histogram {
  return build({
    highestTrackableValue: MAXIMUM_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}

/**
 * Microseconds until the answer is complete; throws unless its status is 200.
 */
export async function timeCall(target: Target, body: string): Promise<number> {
  const startedAtMs = performance.now();
  const { pool, path, headers } = target;
  const response = await pool.request({ method: "POST", path, headers, body });
  await response.body.text();
  if (response.statusCode !== 200)
    throw new RangeError("answer without status 200");
  return (performance.now() - startedAtMs) * MICROSECONDS_PER_MS;
}

/**
 * Starts calls as Poisson arrivals of the given mean rate, however many are
 * still unanswered, and waits until all are answered.
 */
export async function openLoop(options: {
  readonly perSecond: number;
  readonly seconds: number;
  readonly random: Random;
  readonly call: () => Promise<void>;
}): Promise<void> {
  const { perSecond, seconds, random, call } = options;
  const endAtMs = performance.now() + seconds * 1000;
  const pending: Promise<void>[] = [];
  let nextCallAtMs = performance.now();
  while (nextCallAtMs < endAtMs) {
    const waitMs = nextCallAtMs - performance.now();
    if (waitMs > 0.5) await sleep(waitMs);
    pending.push(call());
    nextCallAtMs += (-Math.log(1 - random()) / perSecond) * 1000;
  }
  await Promise.all(pending);
}

/** Counts the tokens of one streamed answer; throws if it is incomplete. */
export async function countTokens(
  { pool, path, headers }: Target,
  body: string,
): Promise<number> {
  const response = await pool.request({ method: "POST", path, headers, body });
  let events = 0;
  let tail = "";
  for await (const chunk of response.body) {
    const text = (chunk as Buffer).toString("latin1");
    events += countEvents(text);
    tail = (tail + text).slice(-16);
  }
  if (!tail.includes("[DONE]"))
    throw new RangeError("stream ended without [DONE]");
  return events - 1;
}

/**
 * Counts the `data: ` prefixes in a chunk; a prefix that is split between two
 * chunks is missed.
 */
function countEvents(text: string): number {
  let count = 0;
  for (
    let index = text.indexOf("data: ");
    index >= 0;
    index = text.indexOf("data: ", index + 1)
  ) {
    count += 1;
  }
  return count;
}
