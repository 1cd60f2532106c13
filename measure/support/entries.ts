/** Two ways to take callers' requests in: the product's and a plain queue. */
import {
  Admission,
  createRandom,
  ignoreEvents,
  OutputEstimate,
  RetryAllowance,
  type AdmissionRequest,
  type AdmissionTuning,
  type Choice,
} from "../../src/internal.js";
import {
  placementRequest,
  POOL,
  PREFILL_MS_PER_TOKEN,
  STEP_MS,
  type Site,
} from "./site.js";
import type { Call } from "./workload.js";

export interface Outcome {
  readonly call: Call;
  readonly kind: "answered" | "late" | "refused" | "failed";
  /** Time from the call to its answer's end or its refusal. */
  readonly durationMs: number;
  readonly firstTokenMs: number;
  readonly retryAfterMs: number;
}

export type Finish = (outcome: Outcome) => void;

export interface Entry {
  readonly onCall: (call: Call, finish: Finish) => void;
}

export type CreateEntry = (site: Site, entry: number) => Entry;

/** Unit of an admission tick; a queued request starts this late at most. */
const TICK_MS = 10;
const MAXIMUM_WAIT_MS = 30_000;
const MAXIMUM_QUEUE_TOKENS = 2_000_000;
const CONCURRENCY = 100_000;
const PLAIN_QUEUE = 1000;
const PLAIN_ATTEMPTS = 4;

interface Open {
  readonly call: Call;
  readonly finish: Finish;
  attempts: number;
  excluded: readonly string[];
  firstTokenMs: number;
}

function open(call: Call, finish: Finish): Open {
  return { call, finish, attempts: 0, excluded: [], firstTokenMs: 0 };
}

function conclude(
  site: Site,
  { call, finish, firstTokenMs }: Open,
  kind: "done" | "refused" | "failed",
  retryAfterMs = 0,
): void {
  const durationMs = site.time.nowMs - call.atMs;
  const inTime = durationMs <= call.deadlineMs;
  const done = inTime ? "answered" : "late";
  const outcome = kind === "done" ? done : kind;
  finish({ call, kind: outcome, durationMs, firstTokenMs, retryAfterMs });
}

function send(
  site: Site,
  entry: number,
  item: Open,
  choice: Choice,
  on: {
    readonly ended: (durationMs: number) => void;
    readonly failed: () => void;
    readonly refused: () => void;
  },
): void {
  const { call, excluded } = item;
  const request = placementRequest(call, call.outputTokens, excluded);
  item.attempts += 1;
  const sentAtMs = site.time.nowMs;
  site.send(entry, {
    call,
    placed: { request, choice },
    onFirstToken: () => {
      item.firstTokenMs = site.time.nowMs - call.atMs;
    },
    onEnded: () => {
      on.ended(site.time.nowMs - sentAtMs);
    },
    onFailed: () => {
      item.excluded = [...item.excluded, choice.runner].slice(-2);
      on.failed();
    },
    onRefused: on.refused,
  });
}

/** Admission, placement and the retry allowance as an entry uses them. */
export function createAdmittedEntry(
  site: Site,
  entry: number,
  tuning: Partial<AdmissionTuning> = {},
): Entry {
  const openItems = new Map<string, Open>();
  const random = createRandom(site.settings.seed * 7919 + entry);
  const estimate = OutputEstimate.create();
  const emit = ignoreEvents;
  const retries = RetryAllowance.create({ pool: POOL, random, emit });

  const start = (request: AdmissionRequest): boolean => {
    const item = openItems.get(request.id);
    if (item === undefined) return true;
    const { call } = item;
    const output = estimate.expect(call.account, call.profile);
    const wanted = placementRequest(call, output, item.excluded);
    const choice = site.choose(entry, wanted);
    if (!choice.hasRoom) return false;
    send(site, entry, item, choice, {
      ended: (durationMs) => {
        const { account, profile, promptTokens, outputTokens } = call;
        estimate.onAnswered(account, profile, outputTokens);
        retries.onSuccess();
        close(item, "done");
        const costTokens = promptTokens + outputTokens;
        admission.onEnded(request, { costTokens, durationMs });
      },
      failed: () => {
        retry(item, request);
      },
      refused: () => {
        admission.putBack(request);
        admission.drain(POOL);
      },
    });
    return true;
  };

  const retry = (item: Open, request: AdmissionRequest): void => {
    const delayMs = retries.spend(item.attempts);
    if (delayMs === undefined) {
      close(item, "failed");
      admission.onEnded(request, { costTokens: 0, durationMs: undefined });
      return;
    }
    site.time.after(delayMs, () => {
      admission.putBack(request);
      admission.drain(POOL);
    });
  };

  const close = (
    item: Open,
    kind: "done" | "refused" | "failed",
    retryAfterMs = 1000,
  ): void => {
    openItems.delete(item.call.id);
    conclude(site, item, kind, retryAfterMs);
  };

  const admission = Admission.create({
    now: () => site.time.nowMs,
    random,
    emit,
    entries: () => site.settings.entries,
    tuning,
    start,
    giveUp: ({ id }, { retryAfterMs }) => {
      const item = openItems.get(id);
      if (item !== undefined) close(item, "refused", retryAfterMs);
    },
  });
  site.time.every(TICK_MS, random() * TICK_MS, () => {
    if (admission.waitingCount > 0) admission.drain(POOL);
  });
  return {
    onCall: (call, finish) => {
      const item = open(call, finish);
      openItems.set(call.id, item);
      const output = estimate.expect(call.account, call.profile);
      const offer = admission.offer(admissionRequest(call, output));
      if (offer.kind !== "refused") return;
      close(item, "refused", offer.retryAfterMs);
    },
  };
}

function admissionRequest(call: Call, output: number): AdmissionRequest {
  const { id, account, profile, priority, promptTokens, atMs } = call;
  return {
    id,
    account,
    weight: 1,
    pool: POOL,
    profile,
    priority,
    costTokens: promptTokens + output,
    serviceMs: promptTokens * PREFILL_MS_PER_TOKEN + output * STEP_MS,
    arrivedAtMs: atMs,
    deadlineAtMs: atMs + call.deadlineMs,
    queue: {
      maximumTokens: MAXIMUM_QUEUE_TOKENS,
      maximumWaitMs: MAXIMUM_WAIT_MS,
    },
    concurrency: CONCURRENCY,
  };
}

/**
 * The baseline: first in, first out, bounded by a count, a plain cap on
 * attempts, and no look at accounts, priorities or deadlines.
 */
export function createPlainEntry(site: Site, entry: number): Entry {
  const queue: Open[] = [];
  const drain = (): void => {
    for (;;) {
      const item = queue.at(0);
      if (item === undefined) return;
      if (!start(item)) return;
      queue.shift();
    }
  };
  const start = (item: Open): boolean => {
    const { call, excluded } = item;
    const wanted = placementRequest(call, call.outputTokens, excluded);
    const choice = site.choose(entry, wanted);
    if (!choice.hasRoom) return false;
    send(site, entry, item, choice, {
      ended: () => {
        conclude(site, item, "done");
        drain();
      },
      failed: () => {
        if (item.attempts < PLAIN_ATTEMPTS) queue.push(item);
        else conclude(site, item, "failed");
        drain();
      },
      refused: () => {
        queue.unshift(item);
        drain();
      },
    });
    return true;
  };
  site.time.every(TICK_MS, site.random() * TICK_MS, drain);
  return {
    onCall: (call, finish) => {
      const item = open(call, finish);
      if (queue.length >= PLAIN_QUEUE) {
        conclude(site, item, "refused");
        return;
      }
      queue.push(item);
      drain();
    },
  };
}
