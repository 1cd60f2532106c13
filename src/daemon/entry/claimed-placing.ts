/**
 * Places a request that may not be repeated: under its own claim, or at the
 * attempt that holds the claim of its call.
 */
import { v7 as uuidV7 } from "uuid";
import {
  checkKeyAge,
  errorTable,
  failure,
  parseIdempotencyKey,
  type AgentChoice,
  type ApricotdeckError,
  type ClaimEntry,
  type ClaimRequest,
  type ErrorNumber,
  type PreviousAttempt,
} from "../../internal.js";
import type { ClaimStep, ClaimTasks } from "./claim-tasks.js";
import type { Sessions } from "./sessions.js";
import type { Work } from "./work.js";

/**
 * Longest wait for a claim. Two appends and two reads of a log that answers
 * take milliseconds; a caller is not held through an outage.
 */
const CLAIM_WAIT_MS = 2_000;

const RETRY_AFTER_MS = 1_000;
const HTTP_UNAVAILABLE = 503;

export interface ClaimedPlacingOptions {
  readonly work: Work;
  readonly claims: ClaimTasks;
  readonly sessions: Sessions;
}

export interface ClaimedPlacing {
  /** Called for the first attempt and after each that is proved not to start. */
  readonly place: (previous: PreviousAttempt | undefined) => void;
  /** The request has its outcome. */
  readonly end: () => void;
}

export function createClaimedPlacing(
  { work, claims, sessions }: ClaimedPlacingOptions,
  choose: () => AgentChoice | undefined,
): ClaimedPlacing {
  const { id } = work;
  let isAttached = false;
  const refuse = (error: ErrorNumber): void => {
    const isBusy = errorTable[error].status === HTTP_UNAVAILABLE;
    sessions.refuse(id, error, isBusy ? RETRY_AFTER_MS : 0);
  };
  const dispatch = ({ agent, agentIncarnation, attempt }: ClaimEntry): void => {
    const sent = sessions.dispatch(id, agent, { attempt, agentIncarnation });
    if (sent.isLeft()) claims.refused(id);
  };
  const attach = ({ agent, agentIncarnation, attempt }: ClaimEntry): void => {
    isAttached = true;
    const options = { attachTo: attempt, agentIncarnation };
    if (sessions.dispatch(id, agent, options).isLeft()) refuse(1308);
  };
  const onStep = (step: ClaimStep): void => {
    if (step.kind === "dispatch") dispatch(step.claim);
    else if (step.kind === "attach") attach(step.claim);
    else refuse(step.error);
  };
  const begin = (): void => {
    isAttached = false;
    const request = claimRequest(work, Date.now());
    if ("error" in request) refuse(request.error.number);
    else claims.begin(request.value, choose, onStep);
  };
  return {
    place: (previous) => {
      if (previous === undefined || isAttached) begin();
      else if (previous.provedNotRun) claims.refused(id);
      else refuse(1308);
    },
    end: () => {
      claims.end(id);
    },
  };
}

type ReadRequest =
  { readonly value: ClaimRequest } | { readonly error: ApricotdeckError };

function claimRequest(work: Work, nowMs: number): ReadRequest {
  const { id: call, account, idempotencyKey, deadlineAtMs } = work;
  if (nowMs >= deadlineAtMs) return { error: failure(1304) };
  const giveUpAtMs = Math.min(deadlineAtMs, nowMs + CLAIM_WAIT_MS);
  const common = { call, account, giveUpAtMs };
  if (idempotencyKey === "") {
    return { value: { ...common, key: uuidV7(), isOwnKey: true } };
  }
  return parseIdempotencyKey(idempotencyKey)
    .chain((key) => checkKeyAge(key, nowMs))
    .caseOf<ReadRequest>({
      Left: (error) => ({ error }),
      Right: ({ key }) => ({ value: { ...common, key, isOwnKey: false } }),
    });
}
