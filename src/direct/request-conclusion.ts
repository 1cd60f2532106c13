/** How a request ends for its caller, and what is logged about it. */
import type { ServerResponse } from "node:http";
import {
  failure,
  type ApricotdeckError,
  type ErrorNumber,
} from "../internal.js";
import { breakOff } from "../daemon/entry/answer-framing.js";
import { endMarkOf, reasonOf } from "./attempt-ends.js";
import type { AttemptRecord } from "./attempt-record.js";
import { endToEndResponseHeaders } from "./end-to-end-headers.js";
import {
  REFUSED_RETRY_AFTER_MS,
  type ForwarderOptions,
} from "./forwarder-options.js";
import type { NextStep } from "./next-step.js";
import type { AdmittedRequest } from "./request-scheduler.js";
import type { StreamMonitor } from "./stream-monitor.js";
import type { AttemptEnd, DirectCall } from "./types.js";

/** Error of a request that no runner has run. */
const REFUSED_BY_RUNNER: ErrorNumber = 1214;

export interface RequestConclusionInput {
  readonly options: ForwarderOptions;
  readonly call: DirectCall;
  readonly response: ServerResponse;
  readonly record: AttemptRecord;
  /** Undefined for a request that isn't a stream. */
  readonly stream: StreamMonitor | undefined;
}

export class RequestConclusion {
  /** Outcome of the request for the metrics. */
  outcome = "broken-off";
  private readonly options: ForwarderOptions;
  private readonly call: DirectCall;
  private readonly response: ServerResponse;
  private readonly record: AttemptRecord;
  private readonly stream: StreamMonitor | undefined;

  private constructor(input: RequestConclusionInput) {
    this.options = input.options;
    this.call = input.call;
    this.response = input.response;
    this.record = input.record;
    this.stream = input.stream;
  }

  static create(input: RequestConclusionInput): RequestConclusion {
    return new RequestConclusion(input);
  }

  private ageMs(): number {
    return performance.now() - this.call.arrivedAtMs;
  }

  conclude(
    admitted: AdmittedRequest,
    end: AttemptEnd,
    step: NextStep,
  ): boolean {
    switch (step.kind) {
      case "deliver":
        this.logAnswered(admitted, end);
        this.deliver(end);
        return true;
      case "fail":
        this.fail(step.error);
        return false;
      case "break-off":
        breakOff(this.response);
        return false;
      case "repeat":
        return false;
    }
  }

  /**
   * No runner is left for a retry: the last runner's response, if any, is
   * forwarded.
   */
  concludeWithoutRunner(admitted: AdmittedRequest, end: AttemptEnd): void {
    if (end.kind === "answered" && !this.record.hasStreamStarted()) {
      this.logAnswered(admitted, end);
      this.deliver(end);
      return;
    }
    this.failOrBreakOff(1214);
  }

  /** `errorIfNotRun`: the error if no runner can have run the request. */
  failOrBreakOff(errorIfNotRun: ErrorNumber): void {
    if (this.record.hasStreamStarted()) {
      breakOff(this.response);
      return;
    }
    this.fail(this.record.mayHaveRun ? 1211 : errorIfNotRun);
  }

  /** A caller that was refused hears when a runner may get its request. */
  private fail(number: ErrorNumber): void {
    const refusal =
      number === REFUSED_BY_RUNNER
        ? this.options.scheduler.refusalOf(this.call)
        : undefined;
    if (refusal !== undefined) {
      this.refuse(refusal.error, refusal.retryAfterMs);
      return;
    }
    this.refuse(failure(number), retryAfterOf(number));
  }

  private deliver(end: AttemptEnd): void {
    this.options.scheduler.retriesOf(this.call.service).onSuccess();
    if (end.kind === "streamed" && this.stream !== undefined) {
      const timeliness = this.stream.timeliness.result;
      this.options.measurements.count("streamsAnswered", { timeliness });
    }
    if (end.kind !== "answered" || this.response.destroyed) return;
    const { status, headers, body } = end.answer;
    const { response } = this;
    response.setHeader("content-length", body.length);
    response.writeHead(status, endToEndResponseHeaders(headers));
    response.end(body);
  }

  refuse(error: ApricotdeckError, retryAfterMs: number): void {
    const { emit, fail, measurements } = this.options;
    measurements.count("admissionRefused", { error: String(error.number) });
    this.outcome = error.entry.outcome;
    emit(214, {
      request: this.call.id,
      error: error.number,
      route: this.call.route.name,
      retryAfterMs: Math.round(retryAfterMs),
      ageMs: Math.round(this.ageMs()),
    });
    fail(this.response, error, retryAfterMs);
  }

  logAttemptEnd(
    admitted: AdmittedRequest,
    end: AttemptEnd,
    step: NextStep,
  ): void {
    if (step.kind === "deliver") return;
    this.options.emit(215, {
      request: this.call.id,
      runner: admitted.runner.server.id,
      end: end.kind,
      reason: reasonOf(end),
      next: step.kind,
      attempt: this.record.attempts,
    });
  }

  private logAnswered({ runner }: AdmittedRequest, end: AttemptEnd): void {
    const { id, route, version } = this.call;
    this.outcome = "answered";
    const endMark = endMarkOf(end);
    this.options.measurements.count("answersPassedOn", { end_mark: endMark });
    this.options.emit(216, {
      request: id,
      route: route.name,
      runner: runner.server.id,
      status: end.kind === "answered" ? end.answer.status : 200,
      endMark,
      version,
      attempts: this.record.attempts,
      waitedMs: Math.round(this.record.waitedMs),
      totalMs: Math.round(this.ageMs()),
    });
  }
}

function retryAfterOf(error: ErrorNumber): number {
  return error === REFUSED_BY_RUNNER ? REFUSED_RETRY_AFTER_MS : 0;
}
