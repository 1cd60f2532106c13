/** Callers of the path measurement: open-loop calls and token streams. */
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import type { Random } from "../src/internal.js";

const MICROSECONDS = 1000;
const LARGEST_US = 60_000_000;

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
    highestTrackableValue: LARGEST_US,
    numberOfSignificantValueDigits: 3,
  });
}

/** Microseconds until the whole answer; throws when it isn't a 200. */
export async function timeCall(target: Target, body: string): Promise<number> {
  const from = performance.now();
  const { pool, path, headers } = target;
  const response = await pool.request({ method: "POST", path, headers, body });
  await response.body.text();
  if (response.statusCode !== 200) throw new RangeError("not answered");
  return (performance.now() - from) * MICROSECONDS;
}

/** Starts calls at random times of a given mean rate, whatever is open. */
export async function openLoop(options: {
  readonly perSecond: number;
  readonly seconds: number;
  readonly random: Random;
  readonly call: () => Promise<void>;
}): Promise<void> {
  const { perSecond, seconds, random, call } = options;
  const end = performance.now() + seconds * 1000;
  const open: Promise<void>[] = [];
  let next = performance.now();
  while (next < end) {
    const waitMs = next - performance.now();
    if (waitMs > 0.5) await sleep(waitMs);
    open.push(call());
    next += (-Math.log(1 - random()) / perSecond) * 1000;
  }
  await Promise.all(open);
}

/** Tokens of one streamed answer; throws when it isn't whole. */
export async function countTokens(
  { pool, path, headers }: Target,
  body: string,
): Promise<number> {
  const response = await pool.request({ method: "POST", path, headers, body });
  let events = 0;
  let tail = "";
  for await (const part of response.body) {
    const text = (part as Buffer).toString("latin1");
    events += countEvents(text);
    tail = (tail + text).slice(-16);
  }
  if (!tail.includes("[DONE]")) throw new RangeError("stream is not whole");
  return events - 1;
}

/** Every event ends with an empty line; one may be split between parts. */
function countEvents(text: string): number {
  let count = 0;
  for (
    let at = text.indexOf("data: ");
    at >= 0;
    at = text.indexOf("data: ", at + 1)
  ) {
    count += 1;
  }
  return count;
}
