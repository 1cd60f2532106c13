/**
 * Forwards one request: waits for admission, sends it to a runner, and on
 * failure retries at another runner where that is allowed.
 */
import type { ServerResponse } from "node:http";
import {
  failure,
  type ApricotdeckError,
  type Emit,
  type ErrorNumber,
  type Measurements,
} from "../internal.js";
import type { RunnerLimits } from "../limits/runner-limits.js";
import type { SuspectTracker } from "../suspects/suspect-tracker.js";
import {
  breakOff,
  delimitByConnectionClose,
} from "../daemon/entry/answer-framing.js";
import { Attempt, type AttemptOptions } from "./attempt.js";
import { endToEndResponseHeaders } from "./end-to-end-headers.js";
import { EventRelay } from "./event-relay.js";
import {
  tryMoveStream,
  nextStep,
  type AttemptHistory,
  type NextStep,
} from "./next-step.js";
import type { Runner, RunnerVerdict } from "./runner-pool.js";
import type { AdmittedRequest, RequestScheduler } from "./request-scheduler.js";
import { StreamTimeliness } from "./stream-timeliness.js";
import { STALL_CHECK_INTERVAL_MS, isStalled } from "./stall.js";
import { CrashTracker } from "./crash-tracker.js";
import type {
  AttemptEnd,
  DirectCall,
  EndMark,
  GiveUpReason,
  HeaderCodec,
} from "./types.js";

export interface ForwarderOptions {
  readonly scheduler: RequestScheduler;
  readonly codec: HeaderCodec;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly suspects: SuspectTracker;
  readonly limits: RunnerLimits;
  /** Sends an error response for a request that no runner has answered. */
  readonly fail: (
    response: ServerResponse,
    error: ApricotdeckError,
    retryAfterMs: number,
  ) => void;
}

/**
 * Limit for a buffered response, and for the part of a stream that its caller
 * hasn't read yet, bytes.
 */
const MAXIMUM_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024;

/**
 * Retry delay for refused callers, ms: by then full runners have completed a
 * few requests, and stalled ranks have been given up.
 */
const REFUSED_RETRY_AFTER_MS = 300;

/** Status with which a runner answers a request that names another runner. */
const HTTP_MISDIRECTED_REQUEST = 421;

/** Result of an admitted request. */
interface ForwardResult {
  /** Whether a complete response of a runner was forwarded. */
  readonly isServed: boolean;
  /**
   * The admission that still has to be released; undefined if it was released
   * to queue the request again and the request was then refused.
   */
  readonly heldAdmission: AdmittedRequest | undefined;
}

const NO_RUNNERS: ReadonlySet<Runner> = new Set();

export class Forwarder {
  private constructor(private readonly options: ForwarderOptions) {}

  static create(options: ForwarderOptions): Forwarder {
    return new Forwarder(options);
  }

  async serve(call: DirectCall, response: ServerResponse): Promise<void> {
    await RequestForwarding.create(this.options, call, response).run();
  }
}

class RequestForwarding {
  /** A restarted runner is a new object, so it may be tried again. */
  private readonly triedRunners = new Set<Runner>();
  private sentAttempts = 0;
  private unsentAttempts = 0;
  private mayHaveRun = false;
  private waitedMs = 0;
  private outcome = "broken-off";
  private attempt: Attempt | undefined;
  /** Admission under which the current attempt runs. */
  private currentAdmission: AdmittedRequest | undefined;
  private giveUpReason: GiveUpReason | undefined;
  private readonly crashTracker: CrashTracker;
  private readonly relay: EventRelay | undefined;
  private readonly timeliness: StreamTimeliness | undefined;

  private constructor(
    private readonly options: ForwarderOptions,
    private readonly call: DirectCall,
    private readonly response: ServerResponse,
  ) {
    const { route, fields } = call;
    this.crashTracker = CrashTracker.create(options.suspects, call);
    if (route.kind !== "stream") return;
    let isFirstEvent = true;
    const timeliness = StreamTimeliness.create(route);
    this.timeliness = timeliness;
    this.relay = EventRelay.create({
      response,
      lastEventId: fields.lastEventId,
      onEvent: (pauseMs) => {
        this.crashTracker.onStreamEvent();
        const { measurements, scheduler } = options;
        const { currentAdmission } = this;
        if (currentAdmission === undefined) return;
        if (isFirstEvent) {
          // The delay of the first event is no pause between two events.
          isFirstEvent = false;
          scheduler.onAccepted(currentAdmission);
          scheduler.onResponseStarted(
            currentAdmission,
            this.ageMs() - this.waitedMs,
          );
          measurements.observe("firstEventDelay", this.ageMs() / 1000);
          timeliness.onFirstEvent(this.ageMs());
          return;
        }
        measurements.observe("eventPause", pauseMs / 1000);
        timeliness.onPause(pauseMs);
        scheduler.onPause(currentAdmission, pauseMs, route.pauseObjectiveMs);
      },
    });
  }

  static create(
    options: ForwarderOptions,
    call: DirectCall,
    response: ServerResponse,
  ): RequestForwarding {
    return new RequestForwarding(options, call, response);
  }

  async run(): Promise<void> {
    const { call, response, options } = this;
    const onClose = (): void => {
      if (!response.writableFinished) this.giveUp("caller-gone");
    };
    response.once("close", onClose);
    const timer = setTimeout(
      () => {
        this.giveUp("overdue");
      },
      Math.max(1, call.deadlineAtMs - performance.now()),
    );
    try {
      await this.forward();
    } finally {
      clearTimeout(timer);
      response.off("close", onClose);
      const { outcome } = this;
      const seconds = this.ageMs() / 1000;
      options.measurements.observe("requestDuration", seconds, { outcome });
    }
  }

  private ageMs(): number {
    return performance.now() - this.call.arrivedAtMs;
  }

  private async forward(): Promise<void> {
    const { call, options } = this;
    if (this.crashTracker.isWithheld) {
      this.failOrBreakOff(1220);
      return;
    }
    const admission = await options.scheduler.admit(call);
    await admission.caseOf({
      Left: ({ error, retryAfterMs }) => {
        this.refuse(error, retryAfterMs);
        return Promise.resolve();
      },
      Right: (admitted) => this.runAdmitted(admitted),
    });
  }

  private async runAdmitted(admitted: AdmittedRequest): Promise<void> {
    const startedAtMs = performance.now();
    this.waitedMs = startedAtMs - this.call.arrivedAtMs;
    const { isServed, heldAdmission } = await this.runAttempts(admitted);
    if (heldAdmission === undefined) return;
    const durationMs = performance.now() - startedAtMs;
    if (isServed && this.relay === undefined) {
      this.options.scheduler.onResponseStarted(heldAdmission, durationMs);
    }
    this.options.scheduler.finish(
      heldAdmission,
      isServed ? durationMs : undefined,
    );
  }

  private async runAttempts(first: AdmittedRequest): Promise<ForwardResult> {
    const { scheduler } = this.options;
    let admitted = first;
    for (;;) {
      // The request may have crashed another runner while it waited.
      if (this.crashTracker.isWithheld) {
        scheduler.release(admitted, "none");
        this.failOrBreakOff(1220);
        return { isServed: false, heldAdmission: admitted };
      }
      const end = await this.runAttempt(admitted);
      scheduler.release(admitted, verdictOf(end));
      await this.crashTracker.onAttemptEnd(admitted.runner.server, end);
      // An error response also shows that the runner accepted the request.
      if (end.kind === "answered") scheduler.onAccepted(admitted);
      const step = this.stepAfter(end);
      this.logAttemptEnd(admitted, end, step);
      if (step.kind !== "repeat") {
        const isServed = this.conclude(admitted, end, step);
        return { isServed, heldAdmission: admitted };
      }
      if (
        end.kind === "not-run" &&
        scheduler.isUnavailable(this.call.service)
      ) {
        const readmitted = await this.readmit(admitted);
        if (readmitted === undefined)
          return { isServed: false, heldAdmission: undefined };
        admitted = readmitted;
        continue;
      }
      const next = this.reassign(admitted, end);
      if (next === undefined) {
        this.concludeWithoutRunner(admitted, end);
        return { isServed: false, heldAdmission: admitted };
      }
      admitted = next;
    }
  }

  /**
   * Queues the request again while all runners of the service refuse: sent to
   * another runner, it would be refused again and lose its last attempt.
   * Returns undefined if it isn't admitted.
   */
  private async readmit(
    admitted: AdmittedRequest,
  ): Promise<AdmittedRequest | undefined> {
    const { scheduler } = this.options;
    scheduler.finish(admitted, undefined);
    const admission = await scheduler.admit(this.call);
    return admission.caseOf<AdmittedRequest | undefined>({
      Left: ({ error, retryAfterMs }) => {
        this.refuse(error, retryAfterMs);
        return undefined;
      },
      Right: (readmitted) => readmitted,
    });
  }

  /**
   * Selects another runner for the request. A stream that was moved away from a
   * slow runner may return to one already tried rather than fail.
   */
  private reassign(
    admitted: AdmittedRequest,
    end: AttemptEnd,
  ): AdmittedRequest | undefined {
    const { scheduler } = this.options;
    const next = scheduler.reassign(admitted, this.triedRunners);
    const isMoved = end.kind === "given-up" && end.reason === "slow";
    if (next !== undefined || !isMoved) return next;
    return scheduler.reassign(admitted, NO_RUNNERS);
  }

  private async runAttempt(admitted: AdmittedRequest): Promise<AttemptEnd> {
    const { call, options, relay } = this;
    const { runner } = admitted;
    this.triedRunners.add(runner);
    this.currentAdmission = admitted;
    if (this.giveUpReason !== undefined) {
      return { kind: "given-up", wasSent: false, reason: this.giveUpReason };
    }
    const lastEventId = relay === undefined ? undefined : relay.lastEventId;
    const headers = options.codec.forward(call.headers, {
      runner: runner.server.id,
      account: call.account,
      remainingMs: Math.max(
        1,
        Math.floor(call.deadlineAtMs - performance.now()),
      ),
      resumeAfterEventId: lastEventId === 0 ? undefined : lastEventId,
    });
    const attempt = Attempt.create({
      connections: runner.connections,
      request: {
        method: call.method,
        path: call.target,
        headers: headers.flat(),
        body: call.body.length > 0 ? call.body : null,
      },
      attemptId: call.fields.attemptId,
      codec: options.codec,
      sink: relay?.sink(),
      maximumBufferedBytes: MAXIMUM_BUFFERED_RESPONSE_BYTES,
      onAnswer: this.limitObserver(runner),
    });
    this.attempt = attempt;
    this.crashTracker.onAttemptSent();
    const end = await this.runMonitored(attempt, admitted);
    this.attempt = undefined;
    if (end.kind === "given-up" && end.reason === "stalled") {
      options.scheduler.onConnectionSilent(admitted);
    }
    options.measurements.count("attemptsEnded", { end: end.kind });
    if (wasSent(end)) this.sentAttempts += 1;
    else this.unsentAttempts += 1;
    this.mayHaveRun ||= wasSent(end) && end.kind !== "not-run";
    return end;
  }

  /** Returns what to do with the head of an answer to an attempt sent now. */
  private limitObserver(runner: Runner): AttemptOptions["onAnswer"] {
    const sentAtMs = performance.now();
    return (status, { requestsPerSecond, signature }) => {
      // Another runner answers at this address.
      if (status === HTTP_MISDIRECTED_REQUEST) return;
      // A refusal that names no limit doesn't say that there is none.
      if (requestsPerSecond === undefined && signature === undefined) return;
      const { limits } = this.options;
      limits.onAnswer(runner.server.id, requestsPerSecond, sentAtMs);
    };
  }

  /**
   * Runs the attempt and gives it up if its stream stalls or should move away
   * from a slow runner.
   */
  private async runMonitored(
    attempt: Attempt,
    admitted: AdmittedRequest,
  ): Promise<AttemptEnd> {
    const { relay, call, options } = this;
    if (relay === undefined) return attempt.run();
    const startedAtMs = performance.now();
    const timer = setInterval(() => {
      const lastEventAtMs = Math.max(relay.lastEventAtMs, startedAtMs);
      const serviceLastEventAtMs = options.scheduler.lastEventAtMs(
        call.service,
      );
      if (isStalled(performance.now(), lastEventAtMs, serviceLastEventAtMs)) {
        attempt.giveUp("stalled");
      } else if (this.shouldMove(admitted)) {
        attempt.giveUp("slow");
      }
    }, STALL_CHECK_INTERVAL_MS);
    try {
      return await attempt.run();
    } finally {
      clearInterval(timer);
    }
  }

  /**
   * Streams leave a slow rank at once, because it delays its whole group for as
   * long as it runs requests: five seconds or more if it finished the streams
   * that it has.
   */
  private shouldMove(admitted: AdmittedRequest): boolean {
    const { scheduler } = this.options;
    if (!scheduler.hasFasterRunner(admitted, this.triedRunners)) return false;
    return tryMoveStream(this.history());
  }

  private stepAfter(end: AttemptEnd): NextStep {
    return nextStep(end, this.history());
  }

  private history(): AttemptHistory {
    const { route, deadlineAtMs, service } = this.call;
    return {
      route,
      sentAttempts: this.sentAttempts,
      unsentAttempts: this.unsentAttempts,
      remainingMs: deadlineAtMs - performance.now(),
      hasStreamStarted: this.relay?.hasStarted ?? false,
      mayHaveRun: this.mayHaveRun,
      tryTakeRetry: () =>
        !this.crashTracker.isWithheld &&
        this.options.scheduler.retriesOf(service).takeRetry(1) !== undefined,
    };
  }

  private conclude(
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
        this.refuse(failure(step.error), retryAfterOf(step.error));
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
  private concludeWithoutRunner(
    admitted: AdmittedRequest,
    end: AttemptEnd,
  ): void {
    if (end.kind === "answered" && this.relay?.hasStarted !== true) {
      this.logAnswered(admitted, end);
      this.deliver(end);
      return;
    }
    this.failOrBreakOff(1214);
  }

  /** `errorIfNotRun`: the error if no runner can have run the request. */
  private failOrBreakOff(errorIfNotRun: ErrorNumber): void {
    if (this.relay?.hasStarted === true) {
      breakOff(this.response);
      return;
    }
    const error = this.mayHaveRun ? 1211 : errorIfNotRun;
    this.refuse(failure(error), retryAfterOf(error));
  }

  private deliver(end: AttemptEnd): void {
    this.options.scheduler.retriesOf(this.call.service).onSuccess();
    if (end.kind === "streamed" && this.timeliness !== undefined) {
      const timeliness = this.timeliness.result;
      this.options.measurements.count("streamsAnswered", { timeliness });
    }
    if (end.kind !== "answered" || this.response.destroyed) return;
    const { status, headers, body, endMark } = end.answer;
    const { response } = this;
    if (endMark === "connection") delimitByConnectionClose(response);
    else response.setHeader("content-length", body.length);
    response.writeHead(status, endToEndResponseHeaders(headers));
    response.end(body);
  }

  private refuse(error: ApricotdeckError, retryAfterMs: number): void {
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

  private logAttemptEnd(
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
      attempt: this.sentAttempts + this.unsentAttempts,
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
      attempts: this.sentAttempts + this.unsentAttempts,
      waitedMs: Math.round(this.waitedMs),
      totalMs: Math.round(this.ageMs()),
    });
  }

  private giveUp(reason: GiveUpReason): void {
    if (this.giveUpReason !== undefined) return;
    this.giveUpReason = reason;
    if (this.attempt !== undefined) {
      this.attempt.giveUp(reason);
      return;
    }
    this.options.scheduler.cancel(this.call.id, {
      error: failure(reason === "overdue" ? 1503 : 1218),
      retryAfterMs: REFUSED_RETRY_AFTER_MS,
    });
  }
}

function wasSent(end: AttemptEnd): boolean {
  if (end.kind === "given-up") return end.wasSent;
  return end.kind !== "unsent";
}

function verdictOf(end: AttemptEnd): RunnerVerdict {
  switch (end.kind) {
    case "streamed":
      return "served";
    case "answered":
      return end.answer.status < 500 ? "served" : "none";
    case "not-run":
      return end.status === HTTP_MISDIRECTED_REQUEST ? "replaced" : "full";
    case "unsent":
    case "broken":
      return "failed";
    case "given-up":
      return end.reason === "stalled" ? "failed" : "none";
  }
}

/** End mark of the response that is forwarded. */
function endMarkOf(end: AttemptEnd): EndMark {
  if (end.kind === "answered") return end.answer.endMark;
  return end.kind === "streamed" ? end.endMark : "connection";
}

function reasonOf(end: AttemptEnd): string {
  switch (end.kind) {
    case "unsent":
    case "broken":
    case "given-up":
      return end.reason;
    case "not-run":
      return String(end.status);
    case "answered":
      return String(end.answer.status);
    case "streamed":
      return "";
  }
}

function retryAfterOf(error: ErrorNumber): number {
  return error === 1214 ? REFUSED_RETRY_AFTER_MS : 0;
}
