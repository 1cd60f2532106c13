/** Workloads of a given size on the product's own modules, for the slopes. */
import {
  AccountLimits,
  applyRecord,
  Balancer,
  ClaimTable,
  createEvenMap,
  createRandom,
  encodeClaimBatch,
  encodeEnvelope,
  ignoreEvents,
  initialConfigurationState,
  Placement,
  Planner,
  type ClaimEntry,
  type Configuration,
  type ConfigurationState,
  type LogRecord,
  type RunnerLoad,
} from "../src/internal.js";
import { FeedBatch } from "../src/wire/generated/configuration.js";
import { AgentBatch, EntryBatch } from "../src/wire/generated/session.js";
import { generateTrace } from "./traces.js";

const CLOCK = { physicalMs: 1_700_000_000_000, counter: 3 };
const LOAD = {
  running: 12,
  waiting: 3,
  waitingTokens: 9000,
  freeBlocks: 5000,
  totalBlocks: 20_000,
  ageMs: 40,
  stepMs: 6,
};

export function heartbeatBytes(sequence: number): Uint8Array {
  const body = {
    $case: "heartbeat" as const,
    value: { sequence, settledBelow: 0, leavingSeen: false },
  };
  return EntryBatch.encode({ clock: CLOCK, frames: [{ body }] }).finish();
}

export function reportBytes(sequence: number): Uint8Array {
  const heartbeat = {
    $case: "heartbeat" as const,
    value: { sequence, settledBelow: 0, leavingSeen: false },
  };
  const load = { $case: "load" as const, value: LOAD };
  const frames = [{ body: heartbeat }, { body: load }];
  return AgentBatch.encode({ clock: CLOCK, frames }).finish();
}

/** Encodes one heartbeat to every peer and decodes each peer's answer. */
export function heartbeatRound(peers: number): () => void {
  const answer = reportBytes(7);
  return () => {
    for (let peer = 0; peer < peers; peer++) {
      heartbeatBytes(peer);
      AgentBatch.decode(answer);
    }
  };
}

function createConfiguration(accounts: number): Configuration {
  return {
    profiles: Array.from({ length: 80 }, (_, index) => ({
      name: `profile-${index}`,
      target: { kind: "model", model: `model-${index % 40}` },
      priority: index % 10,
      deadlineMs: 60_000,
      repeatable: index % 2 === 0,
      queue: { maximumTokens: 100_000, maximumWaitMs: 10_000 },
      concurrency: 100,
    })),
    accounts: Array.from({ length: accounts }, (_, index) => ({
      name: `account-${index}`,
      credentialHashes: [index.toString(16).padStart(64, "0")],
      weight: 1,
      limit: { tokensPerSecond: 1000, burstTokens: 10_000 },
    })),
    groups: Array.from({ length: 40 }, (_, index) => ({
      kind: "model",
      name: `group-${index}`,
      model: `model-${index}`,
      ranks: 64,
      layers: 60,
      experts: 128,
      slotsPerRank: 3,
      bytesPerExpert: 44_000_000,
    })),
    balance: { skewWeight: 0.5 },
  };
}

export function createPublication(accounts: number): LogRecord {
  const data = encodeEnvelope({
    kind: "publication",
    basedOn: null,
    seenThrough: 0,
    formatVersion: 1,
    nonce: "nonce",
    author: "operator",
    configuration: createConfiguration(accounts),
  });
  return { offset: 0, appendedAtMs: 1, data };
}

/** Applies a publication to the initial state; throws if it is rejected. */
export function applyPublication(record: LogRecord): ConfigurationState {
  const { state } = applyRecord(initialConfigurationState, record);
  if (state.inForce === null)
    throw new TypeError("the publication was rejected");
  return state;
}

/** Account limits that hold state for every account. */
export function createAccountLimits(accounts: number): AccountLimits {
  const limits = AccountLimits.create(
    () => CLOCK.physicalMs,
    () => 320,
  );
  const limit = { tokensPerSecond: 1000, burstTokens: 10_000 };
  for (let index = 0; index < accounts; index++) {
    limits.charge(`account-${index}`, limit, 800);
  }
  return limits;
}

const CLAIMS_PER_BATCH = 20;

function createClaim(index: number): ClaimEntry {
  const time = CLOCK.physicalMs.toString(16).padStart(12, "0");
  const suffix = index.toString(16).padStart(12, "0");
  return {
    kind: "claim",
    account: `account-${index % 1100}`,
    key: `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${suffix}`,
    generation: 1,
    attempt: `attempt-${index}`,
    entry: "entry-17",
    entryIncarnation: "0b6e7c5e-incarnation",
    agent: `backend-${index % 820}`,
    agentIncarnation: "5d2a9f10-incarnation",
  };
}

export function createClaimRecords(claims: number): readonly LogRecord[] {
  return Array.from({ length: claims / CLAIMS_PER_BATCH }, (_, batch) => {
    const first = batch * CLAIMS_PER_BATCH;
    const entries = Array.from({ length: CLAIMS_PER_BATCH }, (__, index) =>
      createClaim(first + index),
    );
    const nonce = `nonce-${batch}`;
    const data = encodeClaimBatch({ kind: "claims", nonce, entries });
    return { offset: batch, appendedAtMs: CLOCK.physicalMs, data };
  });
}

export function applyClaims(records: readonly LogRecord[]): ClaimTable {
  const table = ClaimTable.create();
  for (const record of records) table.apply(record);
  return table;
}

export const REQUEST = {
  pool: "model-0",
  priority: 0,
  promptTokens: 800,
  outputTokens: 200,
  prefix: [],
};

export function createPlacement(runners: number): Placement {
  const placement = Placement.create({
    now: () => CLOCK.physicalMs,
    random: createRandom(1),
    emit: ignoreEvents,
    settings: {
      dataCentre: "centre-0",
      distanceMs: () => 1,
      blockTokens: 16,
      prefillMsPerToken: 0.1,
      stepMs: 6,
      adapterLoadMs: 500,
      kvTransfer: undefined,
      queueShare: 0.5,
    },
  });
  for (let index = 0; index < runners; index++) {
    placement.setRunner({
      runner: `backend-${index}`,
      group: `group-${index % 100}`,
      dataCentre: `centre-${index % 7}`,
      pools: ["model-0"],
      adapters: [],
      slots: 32,
    });
  }
  return placement;
}

export function reportRound(runners: number): () => void {
  const placement = createPlacement(runners);
  const load: RunnerLoad = LOAD;
  return () => {
    for (let index = 0; index < runners; index++) {
      placement.onReport(`backend-${index}`, load);
    }
  };
}

const PLANNED_LAYERS = 60;
const SLOTS_PER_RANK = 3;
const HISTORY_WINDOWS = 30;

function groupShape(experts: number) {
  const ranks = experts / 2;
  const slotsPerRank = SLOTS_PER_RANK;
  return { ranks, layers: PLANNED_LAYERS, experts, slotsPerRank };
}

/** Plans from an even map, which isn't fitted to the load at all. */
export function planRound(experts: number): () => void {
  const shape = groupShape(experts);
  const [window] = generateTrace("steady", shape, 1, 1)?.windows ?? [];
  const planner = Planner.create(shape);
  const variance = window.tokens.map((tokens) => tokens * 0.3);
  const input = {
    map: createEvenMap(shape),
    load: { tokens: window.tokens, variance },
    ranks: window,
    costs: {
      bytesPerExpert: 44e6,
      storeBytesPerSecond: 4e9,
      switchSeconds: 0.05,
      stagingExpertsPerRank: 64,
    },
    skewWeight: 0.5,
    confidence: 1,
  };
  return () => {
    planner.plan(input);
  };
}

/** A balancer whose history of windows is full. */
export function createBalancer(experts: number): Balancer {
  const shape = groupShape(experts);
  const map = createEvenMap(shape);
  const balancer = Balancer.create(shape, ignoreEvents);
  const tokens = new Float64Array(shape.layers * SLOTS_PER_RANK).fill(1000);
  for (let window = 0; window < HISTORY_WINDOWS; window++) {
    const reports = Array.from({ length: shape.ranks }, (_, rank) => ({
      rank,
      window,
      mapVersion: map.version,
      tokens,
      busySeconds: 1,
      requestTokens: 0,
    }));
    balancer.observe(map, reports);
  }
  return balancer;
}

/** Encodes one batch of the configuration feed for each reader. */
export function feedRound(readers: number): () => void {
  const { offset, appendedAtMs, data } = createPublication(1100);
  const records = [{ offset, appendedAtMs, data: Buffer.from(data) }];
  const batch = {
    clock: CLOCK,
    startOffset: 0,
    nextOffset: 1,
    records,
    snapshot: Buffer.alloc(0),
    readsLog: true,
  };
  return () => {
    for (let reader = 0; reader < readers; reader++) {
      FeedBatch.encode(batch).finish();
    }
  };
}
