/**
 * The requests of one entry: every one gets exactly one final outcome, and the
 * outcome says no more than what is proved.
 */
import { type ErrorNumber, errorTable } from "../shared/errors.js";
import { ConservationLedger, type Conservation } from "./ledger.js";
import {
  createRequest,
  isDelivered,
  leaveRun,
  release,
  type RequestState,
  truthfulOutcome,
} from "./entry-request.js";
import type {
  EntrySessionsOptions,
  PreviousAttempt,
  RunResult,
} from "./entry-types.js";
import type { SessionLimits } from "./limits.js";
import { isAnswer, type Call, type FinalOutcome } from "./types.js";

type Tools = Pick<EntrySessionsOptions, "perform" | "mayRetry" | "emit">;

/** Stands in where the error at hand says something else than the outcome. */
const USUAL_ERROR = {
  "not-run": 1209,
  unknown: 1211,
  "broken-off": 1210,
} as const;

export class EntryRequests {
  readonly byId = new Map<string, RequestState>();
  /** By current attempt. */
  readonly byAttempt = new Map<string, RequestState>();
  private readonly ledger: ConservationLedger;

  private constructor(
    private readonly tools: Tools,
    private readonly limits: SessionLimits,
  ) {
    this.ledger = ConservationLedger.create(tools.emit);
  }

  static create(tools: Tools, limits: SessionLimits): EntryRequests {
    return new EntryRequests(tools, limits);
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

  /** Names the attempt that frames must carry from now on. */
  nameAttempt(request: RequestState, attempt: string): void {
    this.byAttempt.delete(request.attempt);
    request.attempt = attempt;
    this.byAttempt.set(attempt, request);
  }

  askForPlace(
    request: RequestState,
    previous: PreviousAttempt | undefined,
  ): void {
    request.phase = "placing";
    this.tools.perform({ kind: "place", call: request.call, previous });
  }

  /**
   * The attempt is proved never to start, so the request may be placed again,
   * repeatable or not. Bounded: when every agent refuses, the caller learns of
   * it at once and is told when to come back.
   */
  placeAgain(
    request: RequestState,
    error: ErrorNumber,
    retryAfterMs: number,
    now: number,
  ): void {
    const previous = this.leave(request, "refused", true);
    if (request.placements >= this.limits.placements) {
      this.giveUp(request, error, now, retryAfterMs);
      return;
    }
    const { request: id } = request.call;
    this.tools.emit(127, { request: id, reason: "not run", error });
    this.askForPlace(request, previous);
  }

  /**
   * The run can't be followed any more and nobody knows what it still does.
   * Only a repeatable request of which the caller has seen nothing may start
   * anew: two answers can't be joined, and a call that may not be repeated
   * could run twice. The retry allowance keeps an outage from multiplying the
   * load on what is left.
   */
  abandon(
    request: RequestState,
    error: ErrorNumber,
    result: RunResult,
    now: number,
  ): void {
    const mayRestart = request.call.repeatable && !isDelivered(request);
    const previous = this.leave(request, result, false);
    const isOver =
      !mayRestart ||
      request.placements >= this.limits.placements ||
      !this.tools.mayRetry(request.call);
    if (isOver) {
      this.giveUp(request, error, now);
      return;
    }
    const { request: id } = request.call;
    this.tools.emit(127, { request: id, reason: "repeatable", error });
    this.tools.perform({ kind: "discard", request: id });
    this.askForPlace(request, previous);
  }

  /** Ends a request whose answer can't be had, as truthfully as is known. */
  giveUp(
    request: RequestState,
    error: ErrorNumber,
    now: number,
    retryAfterMs = 0,
  ): void {
    const outcome = truthfulOutcome(request);
    const fits = errorTable[error].outcome === outcome;
    const told = fits ? error : USUAL_ERROR[outcome];
    this.finish(request, outcome, told, now, retryAfterMs);
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
      this.tools.emit(104, { rule: "one-final-outcome", detail: id });
      return;
    }
    const pieces = request.nextIndex;
    this.leave(request, isAnswer(outcome) ? "answered" : "lost", false);
    request.phase = "final";
    this.byId.delete(id);
    this.ledger.finish(outcome);
    const durationMs = now - request.acceptedAt;
    this.tools.emit(124, { request: id, outcome, error, pieces, durationMs });
    this.tools.perform({
      kind: "finish",
      request: id,
      outcome,
      error,
      retryAfterMs,
    });
  }

  /** Ends the current attempt and stops following its run. */
  private leave(
    request: RequestState,
    result: RunResult,
    provedNotRun: boolean,
  ): PreviousAttempt | undefined {
    const { attempt, run, link } = request;
    release(request);
    link?.resuming.delete(request);
    this.byAttempt.delete(attempt);
    request.link = undefined;
    if (provedNotRun) request.evidence = "none";
    leaveRun(request);
    if (link === undefined || run === "") return undefined;
    const { runner } = link;
    const { request: id } = request.call;
    this.tools.perform({ kind: "run-over", request: id, run, runner, result });
    return { attempt, runner, provedNotRun };
  }
}
