/** Callers' requests, drawn from a seed. */
import { randomBelow, type Random } from "../../src/internal.js";

/** One request of a caller. */
export interface Call {
  readonly id: string;
  readonly atMs: number;
  readonly account: string;
  readonly profile: string;
  readonly priority: number;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix: readonly number[];
}

/** A stream of similar calls. */
export interface Stream {
  readonly account: string;
  readonly profile: string;
  readonly priority: number;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  /** Mean; drawn from an exponential distribution of at least 8. */
  readonly outputTokens: number;
  /** Prefixes that are shared, by Zipf's law; 0 for none. */
  readonly prefixes: number;
  /** Calls a second at a time. */
  readonly rate: (nowMs: number) => number;
}

export const BLOCK_TOKENS = 256;
const LEAST_OUTPUT = 8;
const MS_PER_SECOND = 1000;
/** Skew of prefix popularity, as found for web requests. */
const ZIPF_EXPONENT = 1;
const PREFIX_SHARE = 0.75;

function exponential(random: Random, average: number): number {
  return -Math.log(1 - random()) * average;
}

/** Draws a rank of Zipf's law by its cumulative sums. */
function zipf(count: number): (random: Random) => number {
  const sums: number[] = [];
  let total = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    total += rank ** -ZIPF_EXPONENT;
    sums.push(total);
  }
  return (random) => {
    const wanted = random() * total;
    return sums.findIndex((sum) => sum >= wanted);
  };
}

/** All calls of the streams, in order of time. */
export function drawCalls(
  streams: readonly Stream[],
  durationMs: number,
  random: Random,
): readonly Call[] {
  const calls: Call[] = [];
  streams.forEach((stream, streamIndex) => {
    const rank = zipf(Math.max(1, stream.prefixes));
    let atMs = 0;
    for (;;) {
      const rate = Math.max(1e-6, stream.rate(atMs));
      atMs += exponential(random, MS_PER_SECOND / rate);
      if (atMs >= durationMs) break;
      const id = `${streamIndex}-${calls.length}`;
      const prefixNumber = stream.prefixes > 0 ? rank(random) : -1;
      calls.push(drawCall(stream, id, atMs, prefixNumber, random));
    }
  });
  return calls.sort((a, b) => a.atMs - b.atMs);
}

function drawCall(
  stream: Stream,
  id: string,
  atMs: number,
  prefixNumber: number,
  random: Random,
): Call {
  const { account, profile, priority, deadlineMs, promptTokens } = stream;
  const outputTokens = Math.max(
    LEAST_OUTPUT,
    Math.round(exponential(random, stream.outputTokens)),
  );
  const blocks = Math.floor((promptTokens * PREFIX_SHARE) / BLOCK_TOKENS);
  const shared = prefixNumber >= 0 ? blocks : 0;
  const prefix = Array.from(
    { length: shared },
    (_, block) => hashOf(account, prefixNumber) + block,
  );
  return {
    id,
    atMs,
    account,
    profile,
    priority,
    deadlineMs,
    promptTokens,
    outputTokens,
    prefix,
  };
}

function hashOf(account: string, prefixNumber: number): number {
  let hash = 7;
  for (const letter of account) hash = (hash * 31 + letter.charCodeAt(0)) % 1e6;
  return (hash * 10_000 + prefixNumber) * 100;
}

/** Changes the rate between two times. */
export function burst(
  usual: number,
  factor: number,
  fromMs: number,
  toMs: number,
): (nowMs: number) => number {
  return (nowMs) => (nowMs >= fromMs && nowMs < toMs ? usual * factor : usual);
}

/** Spreads calls over entries as a balancer of connections does. */
export function entryOf(random: Random, entries: number): number {
  return randomBelow(random, entries);
}
