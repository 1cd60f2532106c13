/**
 * Entry models: the product's admission, and a plain FIFO queue as a baseline.
 */
import {
  Admission,
  createRandom,
  ignoreEvents,
  OutputEstimate,
  RetryAllowance,
  type AdmissionRequest,
  type AdmissionTuning,
  type PlacementChoice,
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
  /** Time from the call to the end of its answer, or to its refusal. */
  readonly durationMs: number;
  readonly firstTokenMs: number;
  readonly retryAfterMs: number;
}

export type OnOutcome = (outcome: Outcome) => void;

export interface Entry {
  readonly onCall: (call: Call, onOutcome: OnOutcome) => void;
}

export type CreateEntry = (site: Site, entry: number) => Entry;

/** Period of the queue drain; delays a queued request by at most this much. */
const DRAIN_PERIOD_MS = 10;
const MAXIMUM_WAIT_MS = 30_000;
const MAXIMUM_QUEUE_TOKENS = 2_000_000;
const MAXIMUM_CONCURRENCY = 100_000;
const PLAIN_QUEUE_CAPACITY = 1000;
const PLAIN_MAXIMUM_ATTEMPTS = 4;

interface OpenCall {
  readonly call: Call;
  readonly onOutcome: OnOutcome;
  attempts: number;
  excluded: readonly string[];
  firstTokenMs: number;
}

function createOpenCall(call: Call, onOutcome: OnOutcome): OpenCall {
  return {
    call,
    onOutcome,
    attempts: 0,
    excluded: [],
    firstTokenMs: 0,
  };
}

function reportOutcome(
  site: Site,
  { call, onOutcome, firstTokenMs }: OpenCall,
  kind: "done" | "refused" | "failed",
  retryAfterMs = 0,
): void {
  const durationMs = site.clock.nowMs - call.atMs;
  const isInTime = durationMs <= call.deadlineMs;
  const doneKind = isInTime ? "answered" : "late";
  const outcomeKind = kind === "done" ? doneKind : kind;
  onOutcome({
    call,
    kind: outcomeKind,
    durationMs,
    firstTokenMs,
    retryAfterMs,
  });
}

function sendAttempt(
  site: Site,
  entry: number,
  openCall: OpenCall,
  choice: PlacementChoice,
  callbacks: {
    readonly ended: (durationMs: number) => void;
    readonly failed: () => void;
    readonly refused: () => void;
  },
): void {
  const { call, excluded } = openCall;
  const request = placementRequest(call, call.outputTokens, excluded);
  openCall.attempts += 1;
  const sentAtMs = site.clock.nowMs;
  site.send(entry, {
    call,
    placed: { request, choice },
    onFirstToken: () => {
      openCall.firstTokenMs = site.clock.nowMs - call.atMs;
    },
    onEnded: () => {
      callbacks.ended(site.clock.nowMs - sentAtMs);
    },
    onFailed: () => {
      openCall.excluded = [...openCall.excluded, choice.runner].slice(-2);
      callbacks.failed();
    },
    onRefused: callbacks.refused,
  });
}

/**
 * Combines admission, placement and the retry allowance as a real entry does.
 */
export function createAdmissionEntry(
  site: Site,
  entry: number,
  tuning: Partial<AdmissionTuning> = {},
): Entry {
  const openCalls = new Map<string, OpenCall>();
  const random = createRandom(site.settings.seed * 7919 + entry);
  const estimate = OutputEstimate.create();
  const emit = ignoreEvents;
  const retries = RetryAllowance.create({ pool: POOL, random, emit });

  const start = (request: AdmissionRequest): boolean => {
    const openCall = openCalls.get(request.id);
    if (openCall === undefined) return true;
    const { call } = openCall;
    const output = estimate.estimateTokens(call.account, call.profile);
    const placementInput = placementRequest(call, output, openCall.excluded);
    const choice = site.choose(entry, placementInput);
    if (!choice.hasRoom) return false;
    sendAttempt(site, entry, openCall, choice, {
      ended: (durationMs) => {
        const { account, profile, promptTokens, outputTokens } = call;
        estimate.onAnswered(account, profile, outputTokens);
        retries.onSuccess();
        close(openCall, "done");
        const costTokens = promptTokens + outputTokens;
        admission.onEnded(request, { costTokens, durationMs });
      },
      failed: () => {
        retry(openCall, request);
      },
      refused: () => {
        admission.requeue(request);
        admission.drain(POOL);
      },
    });
    return true;
  };

  const retry = (openCall: OpenCall, request: AdmissionRequest): void => {
    const delayMs = retries.takeRetry(openCall.attempts);
    if (delayMs === undefined) {
      close(openCall, "failed");
      admission.onEnded(request, { costTokens: 0, durationMs: undefined });
      return;
    }
    site.clock.schedule(delayMs, () => {
      admission.requeue(request);
      admission.drain(POOL);
    });
  };

  const close = (
    openCall: OpenCall,
    kind: "done" | "refused" | "failed",
    retryAfterMs = 1000,
  ): void => {
    openCalls.delete(openCall.call.id);
    reportOutcome(site, openCall, kind, retryAfterMs);
  };

  const admission = Admission.create({
    now: () => site.clock.nowMs,
    random,
    emit,
    countLiveEntries: () => site.settings.entries,
    tuning,
    start,
    giveUp: ({ id }, { retryAfterMs }) => {
      const openCall = openCalls.get(id);
      if (openCall !== undefined) close(openCall, "refused", retryAfterMs);
    },
  });
  site.clock.scheduleEvery(DRAIN_PERIOD_MS, random() * DRAIN_PERIOD_MS, () => {
    if (admission.waitingCount > 0) admission.drain(POOL);
  });
  return {
    onCall: (call, onOutcome) => {
      const openCall = createOpenCall(call, onOutcome);
      openCalls.set(call.id, openCall);
      const output = estimate.estimateTokens(call.account, call.profile);
      const offer = admission.offer(admissionRequest(call, output));
      if (offer.kind !== "refused") return;
      close(openCall, "refused", offer.retryAfterMs);
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
    concurrency: MAXIMUM_CONCURRENCY,
  };
}

/**
 * The baseline: a FIFO queue of bounded length with a fixed limit on attempts,
 * which ignores accounts, priorities and deadlines.
 */
export function createPlainEntry(site: Site, entry: number): Entry {
  const queue: OpenCall[] = [];
  const drain = (): void => {
    for (;;) {
      const openCall = queue.at(0);
      if (openCall === undefined) return;
      if (!start(openCall)) return;
      queue.shift();
    }
  };
  const start = (openCall: OpenCall): boolean => {
    const { call, excluded } = openCall;
    const placementInput = placementRequest(call, call.outputTokens, excluded);
    const choice = site.choose(entry, placementInput);
    if (!choice.hasRoom) return false;
    sendAttempt(site, entry, openCall, choice, {
      ended: () => {
        reportOutcome(site, openCall, "done");
        drain();
      },
      failed: () => {
        if (openCall.attempts < PLAIN_MAXIMUM_ATTEMPTS) queue.push(openCall);
        else reportOutcome(site, openCall, "failed");
        drain();
      },
      refused: () => {
        queue.unshift(openCall);
        drain();
      },
    });
    return true;
  };
  site.clock.scheduleEvery(
    DRAIN_PERIOD_MS,
    site.random() * DRAIN_PERIOD_MS,
    drain,
  );
  return {
    onCall: (call, onOutcome) => {
      const openCall = createOpenCall(call, onOutcome);
      if (queue.length >= PLAIN_QUEUE_CAPACITY) {
        reportOutcome(site, openCall, "refused");
        return;
      }
      queue.push(openCall);
      drain();
    },
  };
}
