/**
 * `npm run measure -- decisions [--seed N]`: time and memory of one decision at
 * 820 runners, 40 models and 1,100 client accounts, against a scan of the
 * whole pool.
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
const WARM_UP = 50_000;
const DECISIONS = 100_000;
/** The largest model has this share of all runners. */
const LARGEST_SHARE = 0.5;
const NS_PER_US = 1000;

interface Timing {
  readonly p50Us: number;
  readonly p99Us: number;
  readonly p999Us: number;
  readonly perSecond: number;
}

interface DecisionState {
  readonly placement: Placement;
  readonly admission: Admission;
  readonly time: { nowMs: number };
  readonly running: Map<string, () => void>;
}

function poolOf(runner: number): string {
  if (runner < RUNNERS * LARGEST_SHARE) return "model-0";
  return `model-${1 + (runner % (MODELS - 1))}`;
}

function createState(
  random: Random,
  tuning: Partial<PlacementTuning>,
): DecisionState {
  const time = { nowMs: 0 };
  const now = (): number => time.nowMs;
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
  const running = new Map<string, () => void>();
  const admission = Admission.create({
    now,
    random,
    emit: ignoreEvents,
    entries: () => 320,
    start: (request) => place(placement, admission, request, random, running),
    giveUp: () => undefined,
  });
  return { placement, admission, time, running };
}

function prefixOf(number: number): readonly number[] {
  return Array.from({ length: PREFIX_BLOCKS }, (_, i) => number * 100 + i);
}

const PREFIX_TABLE = Array.from({ length: PREFIXES }, (_, i) => prefixOf(i));

function place(
  placement: Placement,
  admission: Admission,
  admitted: AdmissionRequest,
  random: Random,
  running: Map<string, () => void>,
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
  running.set(admitted.id, () => {
    running.delete(admitted.id);
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

/** Ends old work and reports loads, as happens between two decisions. */
function turn(state: DecisionState, index: number, most: number): void {
  state.time.nowMs += 0.25;
  while (state.running.size > most) {
    state.running.values().next().value?.();
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

/** `most` requests are in flight; above the runners' room the queue fills. */
function run(
  seed: number,
  most: number,
  tuning: Partial<PlacementTuning>,
): Timing {
  const random = createRandom(seed);
  const state = createState(random, tuning);
  const times: number[] = [];
  for (let index = 0; index < WARM_UP + DECISIONS; index += 1) {
    turn(state, index, most);
    const request = createRequest(index, state.time.nowMs, random);
    const before = process.hrtime.bigint();
    state.admission.offer(request);
    const elapsed = Number(process.hrtime.bigint() - before);
    if (index >= WARM_UP) times.push(elapsed / NS_PER_US);
  }
  const total = times.reduce((sum, value) => sum + value, 0);
  return {
    p50Us: round(percentile(times, 0.5), 2),
    p99Us: round(percentile(times, 0.99), 2),
    p999Us: round(percentile(times, 0.999), 2),
    perSecond: round((DECISIONS * 1e6) / total),
  };
}

/** Heap of the decision state of one entry, filled as in the timed runs. */
function memoryMegabytes(seed: number): number {
  const collect = globalThis.gc ?? ((): void => undefined);
  collect();
  const before = process.memoryUsage();
  const random = createRandom(seed);
  const state = createState(random, {});
  for (let index = 0; index < WARM_UP; index += 1) {
    turn(state, index, 4000);
    state.admission.offer(createRequest(index, state.time.nowMs, random));
  }
  collect();
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
    ours: run(seed, 4000, {}),
    "ours, saturated": run(seed, 20_000, {}),
    "scan of the pool": run(seed, 4000, { scanUpTo: RUNNERS }),
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
