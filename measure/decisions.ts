/**
 * `npm run measure -- decisions [--seed N]`: time of one admission and
 * placement decision, and memory of an entry's decision state, at 820 runners,
 * 40 models and 1,100 client accounts. The baseline scans the whole pool.
 */
import { parseArgs } from "node:util";
import {
  Admission,
  createRandom,
  defaultPlacementSettings,
  ignoreEvents,
  Placement,
  randomBelow,
  type AdmissionRequest,
  type PlacementRequest,
  type PlacementTuning,
  type Random,
} from "../src/internal.js";
import { percentile, printTable, round } from "./support/summary.js";

const RUNNERS = 820;
const MODELS = 40;
const ACCOUNTS = 1100;
const SLOTS = 16;
const PREFIXES = 20_000;
const PREFIX_BLOCKS = 12;
const WARM_UP_DECISIONS = 50_000;
const DECISIONS = 100_000;
/** Part of the runners that serve the largest model. */
const LARGEST_MODEL_SHARE = 0.5;
const NANOSECONDS_PER_MICROSECOND = 1000;

interface Timing {
  readonly p50Us: number;
  readonly p99Us: number;
  readonly p999Us: number;
  readonly perSecond: number;
}

interface DecisionState {
  readonly placement: Placement;
  readonly admission: Admission;
  readonly clock: { nowMs: number };
  readonly endCallbacks: Map<string, () => void>;
}

function poolOf(runner: number): string {
  if (runner < RUNNERS * LARGEST_MODEL_SHARE) return "model-0";
  return `model-${1 + (runner % (MODELS - 1))}`;
}

function createState(
  random: Random,
  tuning: Partial<PlacementTuning>,
): DecisionState {
  const clock = { nowMs: 0 };
  const now = (): number => clock.nowMs;
  const placement = Placement.create({
    now,
    random,
    emit: ignoreEvents,
    settings: defaultPlacementSettings("dc-0"),
    tuning,
  });
  for (let index = 0; index < RUNNERS; index += 1) {
    placement.setRunner({
      runner: `runner-${index}`,
      group: `group-${index >> 3}`,
      dataCentre: `dc-${index % 7}`,
      pools: [poolOf(index)],
      adapters: [],
      slots: SLOTS,
    });
  }
  const endCallbacks = new Map<string, () => void>();
  const admission = Admission.create({
    now,
    random,
    emit: ignoreEvents,
    countLiveEntries: () => 320,
    start: (request) =>
      place(placement, admission, request, random, endCallbacks),
    giveUp: () => undefined,
  });
  return { placement, admission, clock, endCallbacks };
}

function createPrefix(number: number): readonly number[] {
  return Array.from(
    { length: PREFIX_BLOCKS },
    (_, index) => number * 100 + index,
  );
}

const PREFIX_TABLE = Array.from({ length: PREFIXES }, (_, index) =>
  createPrefix(index),
);

function place(
  placement: Placement,
  admission: Admission,
  admitted: AdmissionRequest,
  random: Random,
  endCallbacks: Map<string, () => void>,
): boolean {
  const request: PlacementRequest = {
    pool: admitted.pool,
    priority: admitted.priority,
    promptTokens: 4096,
    outputTokens: 200,
    prefix: PREFIX_TABLE[randomBelow(random, PREFIXES)],
  };
  const result = placement.choose(request);
  if (result.isLeft()) return false;
  const choice = result.unsafeCoerce();
  if (!choice.hasRoom) return false;
  const placed = { request, choice };
  placement.onStarted(placed);
  endCallbacks.set(admitted.id, () => {
    endCallbacks.delete(admitted.id);
    placement.onEnded(placed, choice.serviceMs);
    admission.onEnded(admitted, {
      costTokens: admitted.costTokens,
      durationMs: choice.serviceMs,
    });
  });
  return true;
}

function createRequest(
  index: number,
  nowMs: number,
  random: Random,
): AdmissionRequest {
  const account = `account-${randomBelow(random, ACCOUNTS)}`;
  const pool = poolOf(randomBelow(random, RUNNERS));
  return {
    id: `${index}`,
    account,
    weight: 1,
    accountLimit: { tokensPerSecond: 1e9, burstTokens: 1e9 },
    pool,
    profile: pool,
    priority: index % 3,
    costTokens: 4296,
    serviceMs: 1200,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + 60_000,
    queue: { maximumTokens: 4_000_000, maximumWaitMs: 30_000 },
    concurrency: 100_000,
  };
}

/**
 * Simulates what happens between two decisions: time passes, the oldest
 * requests beyond the limit end, and a runner reports its load.
 */
function advance(
  state: DecisionState,
  index: number,
  maximumInFlight: number,
): void {
  state.clock.nowMs += 0.25;
  while (state.endCallbacks.size > maximumInFlight) {
    state.endCallbacks.values().next().value?.();
  }
  state.placement.onReport(`runner-${index % RUNNERS}`, {
    running: index % SLOTS,
    waiting: 0,
    waitingTokens: 0,
    freeBlocks: 1000,
    totalBlocks: 1000,
    ageMs: 50,
    stepMs: 5,
  });
}

/**
 * Times offers to admission with up to `maximumInFlight` requests in flight. If
 * that is more than the runners have room for, the queue fills.
 */
function timeDecisions(
  seed: number,
  maximumInFlight: number,
  tuning: Partial<PlacementTuning>,
): Timing {
  const random = createRandom(seed);
  const state = createState(random, tuning);
  const timesUs: number[] = [];
  for (let index = 0; index < WARM_UP_DECISIONS + DECISIONS; index += 1) {
    advance(state, index, maximumInFlight);
    const request = createRequest(index, state.clock.nowMs, random);
    const before = process.hrtime.bigint();
    state.admission.offer(request);
    const elapsedNs = Number(process.hrtime.bigint() - before);
    if (index >= WARM_UP_DECISIONS)
      timesUs.push(elapsedNs / NANOSECONDS_PER_MICROSECOND);
  }
  const totalUs = timesUs.reduce((sum, value) => sum + value, 0);
  return {
    p50Us: round(percentile(timesUs, 0.5), 2),
    p99Us: round(percentile(timesUs, 0.99), 2),
    p999Us: round(percentile(timesUs, 0.999), 2),
    perSecond: round((DECISIONS * 1e6) / totalUs),
  };
}

/** Heap size of one entry's decision state, filled as in the timed runs. */
function memoryMegabytes(seed: number): number {
  const collectGarbage = globalThis.gc ?? ((): void => undefined);
  collectGarbage();
  const before = process.memoryUsage();
  const random = createRandom(seed);
  const state = createState(random, {});
  for (let index = 0; index < WARM_UP_DECISIONS; index += 1) {
    advance(state, index, 4000);
    state.admission.offer(createRequest(index, state.clock.nowMs, random));
  }
  collectGarbage();
  const after = process.memoryUsage();
  const bytes =
    after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  return state.placement.prefixCount > 0 ? round(bytes / 2 ** 20, 1) : 0;
}

export function measureDecisions(options: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...options],
    options: { seed: { type: "string", default: "1" } },
  });
  const seed = Number(values.seed);
  const results = {
    ours: timeDecisions(seed, 4000, {}),
    "ours, saturated": timeDecisions(seed, 20_000, {}),
    "scan of the pool": timeDecisions(seed, 4000, { fullScanLimit: RUNNERS }),
  };
  const rows = Object.entries(results).map(([policy, timing]) => ({
    policy,
    ...timing,
  }));
  printTable(
    `${RUNNERS} runners, ${MODELS} models, ${ACCOUNTS} accounts`,
    rows,
  );
  const stateMegabytes = memoryMegabytes(seed);
  console.log(`state of one entry: ${stateMegabytes} MB`);
  const summary = { measure: "decisions", seed, stateMegabytes, ...results };
  console.log(JSON.stringify(summary));
  return Promise.resolve();
}
