/** Generates the simulated calls of a measurement from a seed. */
import { randomBelow, type Random } from "../../src/internal.js";

/** One simulated request of a caller. */
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

/** Parameters of a stream of calls from one account. */
export interface CallStream {
  readonly account: string;
  readonly profile: string;
  readonly priority: number;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  /** Mean of an exponential distribution, cut off below at 8 tokens. */
  readonly outputTokens: number;
  /** Number of shared prompt prefixes, picked by Zipf's law; 0 for none. */
  readonly prefixCount: number;
  /** Mean arrival rate at a point in time. */
  readonly callsPerSecond: (nowMs: number) => number;
}

export const BLOCK_TOKENS = 256;
const MINIMUM_OUTPUT_TOKENS = 8;
const MS_PER_SECOND = 1000;
/** Exponent of the prefix popularity, as observed for web requests. */
const ZIPF_EXPONENT = 1;
/** Part of a prompt that its shared prefix covers. */
const SHARED_PROMPT_FRACTION = 0.75;

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Samples indexes from 0 by Zipf's law, through the cumulative weights. */
function zipfSampler(count: number): (random: Random) => number {
  const cumulative: number[] = [];
  let total = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    total += rank ** -ZIPF_EXPONENT;
    cumulative.push(total);
  }
  return (random) => {
    const target = random() * total;
    return cumulative.findIndex((sum) => sum >= target);
  };
}

/** Generates the calls of all streams as Poisson arrivals, sorted by time. */
export function generateCalls(
  streams: readonly CallStream[],
  durationMs: number,
  random: Random,
): readonly Call[] {
  const calls: Call[] = [];
  streams.forEach((stream, streamIndex) => {
    const samplePrefix = zipfSampler(Math.max(1, stream.prefixCount));
    let atMs = 0;
    for (;;) {
      const rate = Math.max(1e-6, stream.callsPerSecond(atMs));
      atMs += exponential(random, MS_PER_SECOND / rate);
      if (atMs >= durationMs) break;
      const id = `${streamIndex}-${calls.length}`;
      const prefixNumber = stream.prefixCount > 0 ? samplePrefix(random) : -1;
      calls.push(generateCall(stream, id, atMs, prefixNumber, random));
    }
  });
  return calls.sort((a, b) => a.atMs - b.atMs);
}

function generateCall(
  stream: CallStream,
  id: string,
  atMs: number,
  prefixNumber: number,
  random: Random,
): Call {
  const { account, profile, priority, deadlineMs, promptTokens } = stream;
  const outputTokens = Math.max(
    MINIMUM_OUTPUT_TOKENS,
    Math.round(exponential(random, stream.outputTokens)),
  );
  const blocks = Math.floor(
    (promptTokens * SHARED_PROMPT_FRACTION) / BLOCK_TOKENS,
  );
  const sharedBlocks = prefixNumber >= 0 ? blocks : 0;
  const prefix = Array.from(
    { length: sharedBlocks },
    (_, block) => prefixHash(account, prefixNumber) + block,
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

function prefixHash(account: string, prefixNumber: number): number {
  let hash = 7;
  for (const letter of account) hash = (hash * 31 + letter.charCodeAt(0)) % 1e6;
  return (hash * 10_000 + prefixNumber) * 100;
}

/** A constant rate that is multiplied by `factor` between two times. */
export function burstRate(
  base: number,
  factor: number,
  fromMs: number,
  toMs: number,
): (nowMs: number) => number {
  return (nowMs) => (nowMs >= fromMs && nowMs < toMs ? base * factor : base);
}

/** Picks an entry at random, as a connection-level load balancer would. */
export function pickEntry(random: Random, entries: number): number {
  return randomBelow(random, entries);
}
