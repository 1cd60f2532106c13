/**
 * Forwards one request: waits for admission, sends it to a runner, and on
 * failure retries at another runner where that is allowed.
 */
import type { ServerResponse } from "node:http";
import { failure } from "../internal.js";
import { Attempt, type AttemptOptions } from "./attempt.js";
import {
  HTTP_MISDIRECTED_REQUEST,
  verdictOf,
  wasWithheld,
} from "./attempt-ends.js";
import { AttemptRecord } from "./attempt-record.js";
import { CrashTracker } from "./crash-tracker.js";
import {
  REFUSED_RETRY_AFTER_MS,
  type ForwarderOptions,
} from "./forwarder-options.js";
import { isMoved, nextStep, tryMoveStream } from "./next-step.js";
import type { HeldBytes } from "../intake/memory-budget.js";
import type { HeldRequest } from "../intake/request-memory.js";
import { RequestConclusion } from "./request-conclusion.js";
import type { AdmittedRequest } from "./request-scheduler.js";
import type { Runner } from "./runner.js";
import { StreamMonitor } from "./stream-monitor.js";
import type { AttemptEnd, DirectCall, GiveUpReason } from "./types.js";

/**
 * Limit for a buffered response, and for the part of a stream that its caller
 * hasn't read yet, bytes.
 */
const MAXIMUM_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024;

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

  /** `held`: what the process holds of the request. */
  async serve(
    call: DirectCall,
    response: ServerResponse,
    held: HeldRequest,
  ): Promise<void> {
    await RequestForwarding.create(this.options, call, response, held).run();
  }
}

class RequestForwarding {
  /** A restarted runner is a new object, so it may be tried again. */
  private readonly triedRunners = new Set<Runner>();
  private attempt: Attempt | undefined;
  private giveUpReason: GiveUpReason | undefined;
  private readonly crashTracker: CrashTracker;
  private readonly record: AttemptRecord;
  private readonly stream: StreamMonitor | undefined;
  private readonly conclusion: RequestConclusion;
  private readonly held: HeldBytes;

  private constructor(
    private readonly options: ForwarderOptions,
    private readonly call: DirectCall,
    private readonly response: ServerResponse,
    private readonly heldRequest: HeldRequest,
  ) {
    const crashTracker = CrashTracker.create(options.suspects, call);
    const record = AttemptRecord.create({
      call,
      hasStreamStarted: () => this.stream?.relay.hasStarted ?? false,
      tryTakeRetry: () =>
        !crashTracker.isWithheld &&
        options.scheduler.retriesOf(call.service).takeRetry(1) !== undefined,
    });
    const stream =
      call.route.kind === "stream"
        ? StreamMonitor.create({
            options,
            call,
            response,
            crashTracker,
            waitedMs: () => record.waitedMs,
            shouldMove: (admitted) => this.shouldMove(admitted),
            tryReplace: (admitted) => this.tryReplace(admitted),
          })
        : undefined;
    this.held = options.budget.open();
    this.crashTracker = crashTracker;
    this.record = record;
    this.stream = stream;
    this.conclusion = RequestConclusion.create({
      options,
      call,
      response,
      record,
      stream,
    });
  }

  static create(
    options: ForwarderOptions,
    call: DirectCall,
    response: ServerResponse,
    heldRequest: HeldRequest,
  ): RequestForwarding {
    return new RequestForwarding(options, call, response, heldRequest);
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
      this.releaseHeldOnceSent();
      const { outcome } = this.conclusion;
      const seconds = this.ageMs() / 1000;
      options.measurements.observe("requestDuration", seconds, { outcome });
    }
  }

  /** A response stays in memory until its caller has read it. */
  private releaseHeldOnceSent(): void {
    const { held, response } = this;
    const release = (): void => {
      held[Symbol.dispose]();
    };
    if (response.closed || response.writableFinished) release();
    else response.once("close", release);
  }

  private ageMs(): number {
    return performance.now() - this.call.arrivedAtMs;
  }

  private async forward(): Promise<void> {
    const { call, options } = this;
    if (this.crashTracker.isWithheld) {
      this.conclusion.failOrBreakOff(1220);
      return;
    }
    const admission = await options.scheduler.admit(call);
    await admission.caseOf({
      Left: ({ error, retryAfterMs }) => {
        this.conclusion.refuse(error, retryAfterMs);
        return Promise.resolve();
      },
      Right: (admitted) => this.runAdmitted(admitted),
    });
  }

  private async runAdmitted(admitted: AdmittedRequest): Promise<void> {
    const startedAtMs = performance.now();
    this.record.waitedMs = startedAtMs - this.call.arrivedAtMs;
    const { isServed, heldAdmission } = await this.runAttempts(admitted);
    if (heldAdmission === undefined) return;
    const durationMs = performance.now() - startedAtMs;
    if (isServed && this.stream === undefined) {
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
        this.conclusion.failOrBreakOff(1220);
        return { isServed: false, heldAdmission: admitted };
      }
      const end = await this.runAttempt(admitted);
      scheduler.release(admitted, verdictOf(end));
      await this.crashTracker.onAttemptEnd(admitted.runner.server, end);
      // An error response also shows that the runner accepted the request.
      if (end.kind === "answered") scheduler.onAccepted(admitted);
      const step = nextStep(end, this.record.history());
      this.conclusion.logAttemptEnd(admitted, end, step);
      if (step.kind !== "repeat") {
        const isServed = this.conclusion.conclude(admitted, end, step);
        return { isServed, heldAdmission: admitted };
      }
      const next = await this.nextAdmission(admitted, end);
      if (next === undefined) {
        return { isServed: false, heldAdmission: undefined };
      }
      admitted = next;
    }
  }

  /**
   * Assigns another runner or queues the request again. Returns undefined if
   * the request has ended without one; its admission is released then.
   */
  private async nextAdmission(
    admitted: AdmittedRequest,
    end: AttemptEnd,
  ): Promise<AdmittedRequest | undefined> {
    const { scheduler } = this.options;
    const isRefusedByAll =
      end.kind === "not-run" && scheduler.isUnavailable(this.call.service);
    const next = isRefusedByAll ? undefined : this.reassign(admitted, end);
    if (next !== undefined) return next;
    // A refusal by the queue would say that the request hasn't run.
    const mayQueue = wasWithheld(end) && !this.record.mayHaveRun;
    if (isRefusedByAll || mayQueue) return this.readmit(admitted);
    this.conclusion.concludeWithoutRunner(admitted, end);
    scheduler.finish(admitted, undefined);
    return undefined;
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
        this.conclusion.refuse(error, retryAfterMs);
        return undefined;
      },
      Right: (readmitted) => readmitted,
    });
  }

  /**
   * Selects another runner for the request. A stream that was moved away from
   * its runner may return to one already tried rather than fail.
   */
  private reassign(
    admitted: AdmittedRequest,
    end: AttemptEnd,
  ): AdmittedRequest | undefined {
    const { scheduler } = this.options;
    const next = scheduler.reassign(admitted, this.triedRunners);
    if (next !== undefined || !isMoved(end)) return next;
    return scheduler.reassign(admitted, NO_RUNNERS);
  }

  private async runAttempt(admitted: AdmittedRequest): Promise<AttemptEnd> {
    const { call, options, stream } = this;
    const { runner } = admitted;
    this.triedRunners.add(runner);
    if (this.giveUpReason !== undefined) {
      return { kind: "given-up", wasSent: false, reason: this.giveUpReason };
    }
    const lastEventId = stream?.relay.lastEventId;
    const headers = options.codec.forward(call.headers, {
      runner: runner.server.id,
      account: call.account,
      priority: call.priority,
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
      sink: stream?.relay.sink(),
      maximumBufferedBytes: MAXIMUM_BUFFERED_RESPONSE_BYTES,
      maySend: () => options.scheduler.mayBeSent(admitted),
      held: this.held,
      retainRequest: this.heldRequest.retain,
      onBrokenOff: (reason, bytes) => {
        options.measurements.count("responsesBrokenOff", { reason });
        const { id } = runner.server;
        options.emit(261, { request: call.id, runner: id, reason, bytes });
      },
      onAnswer: this.limitObserver(runner),
      onStatement: (statement) => {
        if (runner.isEnded) return;
        options.statements.onAnswer(runner.server, statement, "request");
      },
    });
    this.attempt = attempt;
    this.crashTracker.onAttemptSent();
    const end = await (stream?.run(attempt, admitted) ?? attempt.run());
    this.attempt = undefined;
    if (end.kind !== "answered") this.held.tryHold(0);
    options.measurements.count("attemptsEnded", { end: end.kind });
    this.record.onAttemptEnd(end);
    return end;
  }

  /** Returns what to do with the head of an answer to an attempt sent now. */
  private limitObserver(runner: Runner): AttemptOptions["onAnswer"] {
    const sentAtMs = performance.now();
    return (status, { requestsPerSecond, coldMs, signature }) => {
      // Another runner answers at this address.
      if (status === HTTP_MISDIRECTED_REQUEST) return;
      this.options.coldRunners.onAnswer(runner.server.id, coldMs);
      // A refusal that names no limit doesn't say that there is none.
      if (requestsPerSecond === undefined && signature === undefined) return;
      const { limits } = this.options;
      limits.onAnswer(runner.server.id, requestsPerSecond, sentAtMs);
    };
  }

  /**
   * Streams leave a slow rank at once, because it delays its whole group for as
   * long as it runs requests: five seconds or more if it finished the streams
   * that it has.
   */
  private shouldMove(admitted: AdmittedRequest): boolean {
    const { scheduler } = this.options;
    if (!scheduler.hasFasterRunner(admitted, this.triedRunners)) return false;
    return tryMoveStream(this.record.history());
  }

  /** Without another runner, the stream waits for the one that it has. */
  private tryReplace(admitted: AdmittedRequest): boolean {
    const { scheduler } = this.options;
    if (!scheduler.hasOtherRunner(admitted, this.triedRunners)) return false;
    return tryMoveStream(this.record.history());
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
