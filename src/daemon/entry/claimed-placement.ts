/**
 * Places a request that may not be executed twice: as a new attempt under its
 * own claim, or attached to the attempt that already holds the call's claim.
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
import type { CallerRequest } from "./caller-request.js";

/**
 * Two appends and two reads take milliseconds while the log is available; a
 * caller doesn't wait for the end of an outage.
 */
const MAXIMUM_CLAIM_WAIT_MS = 2_000;

const RETRY_AFTER_MS = 1_000;
const HTTP_UNAVAILABLE = 503;

export interface ClaimedPlacementOptions {
  readonly callerRequest: CallerRequest;
  readonly claims: ClaimTasks;
  readonly sessions: Sessions;
}

export interface ClaimedPlacement {
  /**
   * Called for the first attempt and whenever the session needs another one.
   */
  readonly place: (previous: PreviousAttempt | undefined) => void;
  /** Called when the request has its final outcome. */
  readonly end: () => void;
}

export function createClaimedPlacement(
  { callerRequest, claims, sessions }: ClaimedPlacementOptions,
  choose: () => AgentChoice | undefined,
): ClaimedPlacement {
  const { id } = callerRequest;
  let isAttached = false;
  const refuse = (error: ErrorNumber): void => {
    const isTemporary = errorTable[error].status === HTTP_UNAVAILABLE;
    sessions.refuse(id, error, isTemporary ? RETRY_AFTER_MS : 0);
  };
  const dispatch = ({ agent, agentIncarnation, attempt }: ClaimEntry): void => {
    const dispatched = sessions.dispatch(id, agent, {
      attempt,
      agentIncarnation,
    });
    if (dispatched.isLeft()) claims.onRefused(id);
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
  const beginClaim = (): void => {
    isAttached = false;
    const request = createClaimRequest(callerRequest, Date.now());
    if ("error" in request) refuse(request.error.number);
    else claims.begin(request.value, choose, onStep);
  };
  return {
    place: (previous) => {
      if (previous === undefined || isAttached) beginClaim();
      else if (previous.isProvenNotRun) claims.onRefused(id);
      else refuse(1308);
    },
    end: () => {
      claims.end(id);
    },
  };
}

type ClaimRequestResult =
  { readonly value: ClaimRequest } | { readonly error: ApricotdeckError };

function createClaimRequest(
  callerRequest: CallerRequest,
  nowMs: number,
): ClaimRequestResult {
  const { id: call, account, idempotencyKey, deadlineAtMs } = callerRequest;
  if (nowMs >= deadlineAtMs) return { error: failure(1304) };
  const giveUpAtMs = Math.min(deadlineAtMs, nowMs + MAXIMUM_CLAIM_WAIT_MS);
  const common = { call, account, giveUpAtMs };
  if (idempotencyKey === "") {
    return { value: { ...common, key: uuidV7(), isOwnKey: true } };
  }
  return parseIdempotencyKey(idempotencyKey)
    .chain((key) => checkKeyAge(key, nowMs))
    .caseOf<ClaimRequestResult>({
      Left: (error) => ({ error }),
      Right: ({ key }) => ({ value: { ...common, key, isOwnKey: false } }),
    });
}
