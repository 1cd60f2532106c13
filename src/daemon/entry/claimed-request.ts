/**
 * One request that may not be repeated: claim it, dispatch it under the claim,
 * or give its caller the answer or the refusal that another attempt leads to.
 */
import { v7 as uuidV7 } from "uuid";
import {
  checkKeyAge,
  createDeferred,
  errorTable,
  failure,
  parseIdempotencyKey,
  type AgentChoice,
  type ApricotdeckError,
  type ClaimEntry,
  type ClaimRequest,
} from "../../internal.js";
import type { ClaimStep, ClaimTasks } from "./claim-tasks.js";
import type { Work } from "./work.js";

/**
 * Longest wait for a claim. Two appends and two reads of a log that answers
 * take milliseconds; a caller is not held through an outage.
 */
export const CLAIM_WAIT_MS = 2_000;

/** What became of an attempt that was dispatched under its claim. */
export type ClaimedEnd<Result> =
  | { readonly kind: "done"; readonly result: Result }
  /** Its agent refused it, or it was never dispatched: it never starts. */
  | { readonly kind: "refused"; readonly error: ApricotdeckError };

export interface ClaimedRequestOptions<Result> {
  readonly work: Work;
  readonly claims: ClaimTasks;
  readonly signal: AbortSignal;
  readonly choose: () => AgentChoice | undefined;
  readonly dispatch: (claim: ClaimEntry) => Promise<ClaimedEnd<Result>>;
  readonly attach: (claim: ClaimEntry) => Promise<Result>;
  readonly refuse: (error: ApricotdeckError) => Result;
}

export async function runClaimed<Result>(
  options: ClaimedRequestOptions<Result>,
): Promise<Result> {
  const { work, claims, signal, refuse } = options;
  const request = claimRequest(work, Date.now());
  if (request.kind === "refused") return refuse(request.error);
  const call = work.id;
  const forget = (): void => {
    claims.end(call);
  };
  signal.addEventListener("abort", forget, { once: true });
  try {
    return await takeSteps(options, request.value);
  } finally {
    signal.removeEventListener("abort", forget);
    forget();
  }
}

async function takeSteps<Result>(
  options: ClaimedRequestOptions<Result>,
  request: ClaimRequest,
): Promise<Result> {
  const { work, claims, signal, choose, dispatch, attach, refuse } = options;
  let next = createDeferred<ClaimStep>();
  signal.addEventListener("abort", () => {
    next.resolve({ kind: "refuse", call: work.id, error: 1304 });
  });
  claims.begin(request, choose, (step) => {
    next.resolve(step);
  });
  for (;;) {
    const step = await next.promise;
    if (step.kind === "attach") return attach(step.claim);
    if (step.kind === "refuse") return refuse(failure(step.error));
    next = createDeferred<ClaimStep>();
    const end = await dispatch(step.claim);
    if (end.kind === "done") return end.result;
    claims.refused(work.id);
  }
}

type ReadRequest =
  | { readonly kind: "request"; readonly value: ClaimRequest }
  | { readonly kind: "refused"; readonly error: ApricotdeckError };

function claimRequest(work: Work, nowMs: number): ReadRequest {
  const { id: call, account, idempotencyKey, deadlineAtMs } = work;
  const giveUpAtMs = Math.min(deadlineAtMs, nowMs + CLAIM_WAIT_MS);
  if (idempotencyKey === "") {
    const own = { call, account, key: uuidV7(), isOwnKey: true, giveUpAtMs };
    return { kind: "request", value: own };
  }
  return parseIdempotencyKey(idempotencyKey)
    .chain((key) => checkKeyAge(key, nowMs))
    .caseOf<ReadRequest>({
      Left: (error) => ({ kind: "refused", error }),
      Right: ({ key }) => ({
        kind: "request",
        value: { call, account, key, isOwnKey: false, giveUpAtMs },
      }),
    });
}

/**
 * What a refusal before the claim may say. Under a caller's key an earlier call
 * may have run, so "not run" would be a guess.
 */
export function truthfulBeforeClaim(
  work: Work,
  error: ApricotdeckError,
): ApricotdeckError {
  const isKeyed = !work.profile.repeatable && work.idempotencyKey !== "";
  if (!isKeyed || errorTable[error.number].outcome !== "not-run") return error;
  return failure(1304, { reason: error.entry.name });
}
