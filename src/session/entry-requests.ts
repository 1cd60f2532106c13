/**
 * The requests of one entry. Each gets exactly one final outcome, which claims
 * no more than has been proved.
 */
import { type ErrorNumber, errorTable } from "../shared/errors.js";
import { ConservationLedger, type Conservation } from "./ledger.js";
import {
  createRequest,
  isPartlyDelivered,
  outcomeFromEvidence,
  releaseAttempt,
  type RequestState,
  resetRun,
} from "./request-state.js";
import type {
  EntrySessionsOptions,
  PreviousAttempt,
  RunResult,
} from "./entry-types.js";
import type { SessionLimits } from "./limits.js";
import { isAnswer, type Call, type FinalOutcome } from "./types.js";

type RequestDependencies = Pick<
  EntrySessionsOptions,
  "perform" | "mayRetry" | "emit"
>;

/** Replaces an error whose outcome differs from the request's outcome. */
const DEFAULT_ERRORS = {
  "not-run": 1209,
  unknown: 1211,
  "broken-off": 1210,
} as const;

export class EntryRequests {
  readonly byId = new Map<string, RequestState>();
  /** By the ID of the current attempt. */
  readonly byAttempt = new Map<string, RequestState>();
  private readonly ledger: ConservationLedger;

  private constructor(
    private readonly dependencies: RequestDependencies,
    private readonly limits: SessionLimits,
  ) {
    this.ledger = ConservationLedger.create(dependencies.emit);
  }

  static create(
    dependencies: RequestDependencies,
    limits: SessionLimits,
  ): EntryRequests {
    return new EntryRequests(dependencies, limits);
  }

  conservation(): Conservation {
    return this.ledger.check(this.byId.size);
  }

  accept(call: Call, deadlineAt: number, now: number): RequestState {
    const request = createRequest(call, deadlineAt, now);
    this.byId.set(call.request, request);
    this.ledger.accept();
    return request;
  }

  /** Sets the current attempt; frames of earlier ones are dropped. */
  setAttempt(request: RequestState, attempt: string): void {
    this.byAttempt.delete(request.attempt);
    request.attempt = attempt;
    this.byAttempt.set(attempt, request);
  }

  requestPlacement(
    request: RequestState,
    previous: PreviousAttempt | undefined,
  ): void {
    request.phase = "placing";
    this.dependencies.perform({ kind: "place", call: request.call, previous });
  }

  /**
   * The attempt provably never starts, so even a request that isn't repeatable
   * may be placed again. The number of dispatches is limited: if every agent
   * refuses, the caller gets an error at once, with a time to retry after.
   */
  retryPlacement(
    request: RequestState,
    error: ErrorNumber,
    retryAfterMs: number,
    now: number,
  ): void {
    const previous = this.detachRun(request, "refused", true);
    if (request.dispatchCount >= this.limits.maximumDispatches) {
      this.failRequest(request, error, now, retryAfterMs);
      return;
    }
    const { request: id } = request.call;
    this.dependencies.emit(127, { request: id, reason: "not run", error });
    this.requestPlacement(request, previous);
  }

  /**
   * The run can't be followed any more, and its state is unknown. Only a
   * repeatable request with nothing sent to the caller may start again: two
   * answers can't be joined, and other requests could run twice. The retry
   * allowance keeps an outage from multiplying the load on the remaining
   * runners.
   */
  abandonRun(
    request: RequestState,
    error: ErrorNumber,
    result: RunResult,
    now: number,
  ): void {
    const mayRestart = request.call.repeatable && !isPartlyDelivered(request);
    const previous = this.detachRun(request, result, false);
    const mustFail =
      !mayRestart ||
      request.dispatchCount >= this.limits.maximumDispatches ||
      !this.dependencies.mayRetry(request.call);
    if (mustFail) {
      this.failRequest(request, error, now);
      return;
    }
    const { request: id } = request.call;
    this.dependencies.emit(127, { request: id, reason: "repeatable", error });
    this.dependencies.perform({ kind: "discard", request: id });
    this.requestPlacement(request, previous);
  }

  /** Ends a request without an answer, with the outcome that is proved. */
  failRequest(
    request: RequestState,
    error: ErrorNumber,
    now: number,
    retryAfterMs = 0,
  ): void {
    const outcome = outcomeFromEvidence(request);
    const matchesOutcome = errorTable[error].outcome === outcome;
    const reportedError = matchesOutcome ? error : DEFAULT_ERRORS[outcome];
    this.finish(request, outcome, reportedError, now, retryAfterMs);
  }

  finish(
    request: RequestState,
    outcome: FinalOutcome,
    error: ErrorNumber | 0,
    now: number,
    retryAfterMs = 0,
  ): void {
    const { request: id } = request.call;
    if (request.phase === "final") {
      this.dependencies.emit(104, { rule: "one-final-outcome", detail: id });
      return;
    }
    const pieces = request.nextPieceIndex;
    this.detachRun(request, isAnswer(outcome) ? "answered" : "lost", false);
    request.phase = "final";
    this.byId.delete(id);
    this.ledger.finish(outcome);
    const durationMs = now - request.acceptedAt;
    this.dependencies.emit(124, {
      request: id,
      outcome,
      error,
      pieces,
      durationMs,
    });
    this.dependencies.perform({
      kind: "finish",
      request: id,
      outcome,
      error,
      retryAfterMs,
    });
  }

  /** Ends the current attempt and stops following its run. */
  private detachRun(
    request: RequestState,
    result: RunResult,
    isProvenNotRun: boolean,
  ): PreviousAttempt | undefined {
    const { attempt, run, link } = request;
    releaseAttempt(request);
    link?.requestsToResume.delete(request);
    this.byAttempt.delete(attempt);
    request.link = undefined;
    if (isProvenNotRun) request.startEvidence = "none";
    resetRun(request);
    if (link === undefined || run === "") return undefined;
    const { runner } = link;
    const { request: id } = request.call;
    this.dependencies.perform({
      kind: "run-over",
      request: id,
      run,
      runner,
      result,
    });
    return { attempt, runner, isProvenNotRun };
  }
}
