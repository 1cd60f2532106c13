/**
 * Carries one request to its end: waits for a place, sends it to a runner,
 * and on failure to another one as far as that is allowed. One task for each
 * request.
 */
import type { ServerResponse } from "node:http";
import {
  failure,
  type ApricotdeckError,
  type Emit,
  type ErrorNumber,
  type Measurements,
} from "../internal.js";
import type { SuspectDesk } from "../suspects/suspect-desk.js";
import { breakOff, endWithConnection } from "../daemon/entry/answer-framing.js";
import { Attempt } from "./attempt.js";
import { answerHeaders } from "./end-to-end-headers.js";
import { EventRelay } from "./event-relay.js";
import {
  mayMove,
  nextStep,
  type AttemptHistory,
  type NextStep,
} from "./next-step.js";
import type { Runner, Verdict } from "./runner-pool.js";
import type { Admitted, ServiceGate } from "./service-gate.js";
import { STALL_LOOK_MS, isStalled } from "./stall.js";
import { SuspectedRun } from "./suspected-run.js";
import type {
  AttemptEnd,
  Call,
  EndMark,
  GiveUpReason,
  HeaderCodec,
} from "./types.js";

export interface ForwarderOptions {
  readonly gate: ServiceGate;
  readonly codec: HeaderCodec;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly suspects: SuspectDesk;
  /** Answers a request that got none from a runner. */
  readonly fail: (
    response: ServerResponse,
    error: ApricotdeckError,
    retryAfterMs: number,
  ) => void;
}

/** Largest answer that is held back until it is whole, bytes. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * A refused request may come back after this time, ms: runners that were full
 * have had a few answers end, and ranks that stalled are given up by then.
 */
const REFUSED_RETRY_MS = 300;

/** Another runner than the one that was named answers at the address. */
const MISDIRECTED = 421;

/** What became of an admitted request. */
interface Carried {
  /** A runner's whole answer was passed on. */
  readonly isServed: boolean;
  /** Still held at the gate; undefined when its wait for one was in vain. */
  readonly place: Admitted | undefined;
}

const NOTHING_TRIED: ReadonlySet<Runner> = new Set();

export class Forwarder {
  private constructor(private readonly options: ForwarderOptions) {}

  static create(options: ForwarderOptions): Forwarder {
    return new Forwarder(options);
  }

  async serve(call: Call, response: ServerResponse): Promise<void> {
    await Forwarding.create(this.options, call, response).run();
  }
}

class Forwarding {
  /** Lives: one that has started again is another runner. */
  private readonly tried = new Set<Runner>();
  private sent = 0;
  private unsent = 0;
  private mayHaveRun = false;
  private waitedMs = 0;
  private outcome = "broken-off";
  private attempt: Attempt | undefined;
  /** Where the attempt runs. */
  private place: Admitted | undefined;
  private givenUp: GiveUpReason | undefined;
  private readonly suspected: SuspectedRun;
  private readonly relay: EventRelay | undefined;

  private constructor(
    private readonly options: ForwarderOptions,
    private readonly call: Call,
    private readonly response: ServerResponse,
  ) {
    const { route, fields } = call;
    this.suspected = SuspectedRun.create(options.suspects, call);
    if (route.kind !== "stream") return;
    let isFirst = true;
    this.relay = EventRelay.create({
      response,
      lastEventId: fields.lastEventId,
      onEvent: (pauseMs) => {
        this.suspected.onEvent();
        const { measurements, gate } = options;
        const { place } = this;
        if (place === undefined) return;
        if (isFirst) {
          // The time to the first event is no pause between two.
          isFirst = false;
          gate.onAccepted(place);
          measurements.observe("firstEventDelay", this.ageMs() / 1000);
          return;
        }
        measurements.observe("eventPause", pauseMs / 1000);
        gate.onPause(place, pauseMs, route.pauseObjectiveMs);
      },
    });
  }

  static create(
    options: ForwarderOptions,
    call: Call,
    response: ServerResponse,
  ): Forwarding {
    return new Forwarding(options, call, response);
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
      Math.max(1, call.dueAtMs - performance.now()),
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
    if (this.suspected.isWithheld) {
      this.failOrBreakOff(1220);
      return;
    }
    const entered = await options.gate.enter(call);
    await entered.caseOf({
      Left: ({ error, retryAfterMs }) => {
        this.refuse(error, retryAfterMs);
        return Promise.resolve();
      },
      Right: (admitted) => this.carry(admitted),
    });
  }

  private async carry(admitted: Admitted): Promise<void> {
    const startedAtMs = performance.now();
    this.waitedMs = startedAtMs - this.call.arrivedAtMs;
    const { isServed, place } = await this.attempts(admitted);
    if (place === undefined) return;
    const durationMs = performance.now() - startedAtMs;
    this.options.gate.leave(place, isServed ? durationMs : undefined);
  }

  private async attempts(first: Admitted): Promise<Carried> {
    const { gate } = this.options;
    let admitted = first;
    for (;;) {
      // It may have crashed another runner while it waited here.
      if (this.suspected.isWithheld) {
        gate.release(admitted, "none");
        this.failOrBreakOff(1220);
        return { isServed: false, place: admitted };
      }
      const end = await this.attemptAt(admitted);
      gate.release(admitted, verdictOf(end));
      await this.suspected.onEnd(admitted.runner.server, end);
      // A failure of its own is an answer too: the runner did take the request.
      if (end.kind === "answered") gate.onAccepted(admitted);
      const step = this.stepAfter(end);
      this.note(admitted, end, step);
      if (step.kind !== "repeat") {
        const isServed = this.conclude(admitted, end, step);
        return { isServed, place: admitted };
      }
      if (end.kind === "not-run" && gate.isOut(this.call.service)) {
        const again = await this.waitAgain(admitted);
        if (again === undefined) return { isServed: false, place: undefined };
        admitted = again;
        continue;
      }
      const next = this.nextPlace(admitted, end);
      if (next === undefined) {
        this.concludeUnplaced(admitted, end);
        return { isServed: false, place: admitted };
      }
      admitted = next;
    }
  }

  /**
   * The whole service refuses: another runner would as well, and the last
   * attempt would be gone. Undefined when the wait was in vain.
   */
  private async waitAgain(admitted: Admitted): Promise<Admitted | undefined> {
    const { gate } = this.options;
    gate.leave(admitted, undefined);
    const entered = await gate.enter(this.call);
    return entered.caseOf<Admitted | undefined>({
      Left: ({ error, retryAfterMs }) => {
        this.refuse(error, retryAfterMs);
        return undefined;
      },
      Right: (again) => again,
    });
  }

  /** A stream that left a slow runner goes back rather than break. */
  private nextPlace(admitted: Admitted, end: AttemptEnd): Admitted | undefined {
    const { gate } = this.options;
    const next = gate.moveOn(admitted, this.tried);
    const isMoved = end.kind === "given-up" && end.reason === "slow";
    if (next !== undefined || !isMoved) return next;
    return gate.moveOn(admitted, NOTHING_TRIED);
  }

  private async attemptAt(admitted: Admitted): Promise<AttemptEnd> {
    const { call, options, relay } = this;
    const { runner } = admitted;
    this.tried.add(runner);
    this.place = admitted;
    if (this.givenUp !== undefined) {
      return { kind: "given-up", wasSent: false, reason: this.givenUp };
    }
    const resumeAfter = relay === undefined ? undefined : relay.lastEventId;
    const headers = options.codec.forward(call.headers, {
      runner: runner.server.id,
      account: call.account,
      leftMs: Math.max(1, Math.floor(call.dueAtMs - performance.now())),
      resumeAfter: resumeAfter === 0 ? undefined : resumeAfter,
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
      maximumBytes: MAXIMUM_ANSWER_BYTES,
    });
    this.attempt = attempt;
    this.suspected.onSent();
    const end = await this.watch(attempt, admitted);
    this.attempt = undefined;
    if (end.kind === "given-up" && end.reason === "stalled") {
      options.gate.onSilent(admitted);
    }
    options.measurements.count("attemptsEnded", { end: end.kind });
    if (wasSent(end)) this.sent += 1;
    else this.unsent += 1;
    this.mayHaveRun ||= wasSent(end) && end.kind !== "not-run";
    return end;
  }

  /** Ends an attempt whose stream has fallen silent or sits at a slow runner. */
  private async watch(
    attempt: Attempt,
    admitted: Admitted,
  ): Promise<AttemptEnd> {
    const { relay, call, options } = this;
    if (relay === undefined) return attempt.run();
    const startedAtMs = performance.now();
    const timer = setInterval(() => {
      const lastMs = Math.max(relay.lastEventAtMs, startedAtMs);
      const serviceMs = options.gate.lastEventAtMs(call.service);
      if (isStalled(performance.now(), lastMs, serviceMs)) {
        attempt.giveUp("stalled");
      } else if (this.shouldMove(admitted)) {
        attempt.giveUp("slow");
      }
    }, STALL_LOOK_MS);
    try {
      return await attempt.run();
    } finally {
      clearInterval(timer);
    }
  }

  /**
   * A slow rank holds its whole group back for as long as it has work of its
   * own, five seconds or more for the streams it had; so they move at once.
   */
  private shouldMove(admitted: Admitted): boolean {
    const { gate } = this.options;
    if (!gate.isBetterElsewhere(admitted, this.tried)) return false;
    return mayMove(this.history());
  }

  private stepAfter(end: AttemptEnd): NextStep {
    return nextStep(end, this.history());
  }

  private history(): AttemptHistory {
    const { route, dueAtMs, service } = this.call;
    return {
      route,
      sent: this.sent,
      unsent: this.unsent,
      leftMs: dueAtMs - performance.now(),
      hasStarted: this.relay?.hasStarted ?? false,
      mayHaveRun: this.mayHaveRun,
      mayRepeat: () =>
        !this.suspected.isWithheld &&
        this.options.gate.retriesOf(service).spend(1) !== undefined,
    };
  }

  private conclude(
    admitted: Admitted,
    end: AttemptEnd,
    step: NextStep,
  ): boolean {
    switch (step.kind) {
      case "deliver":
        this.noteAnswered(admitted, end);
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

  /** No runner is left to repeat at: what the last one said is the answer. */
  private concludeUnplaced(admitted: Admitted, end: AttemptEnd): void {
    if (end.kind === "answered" && this.relay?.hasStarted !== true) {
      this.noteAnswered(admitted, end);
      this.deliver(end);
      return;
    }
    this.failOrBreakOff(1214);
  }

  /** `whenNotRun`: said only when no runner may have run it. */
  private failOrBreakOff(whenNotRun: ErrorNumber): void {
    if (this.relay?.hasStarted === true) {
      breakOff(this.response);
      return;
    }
    const error = this.mayHaveRun ? 1211 : whenNotRun;
    this.refuse(failure(error), retryAfterOf(error));
  }

  private deliver(end: AttemptEnd): void {
    this.options.gate.retriesOf(this.call.service).onSuccess();
    if (end.kind !== "answered" || this.response.destroyed) return;
    const { status, headers, body, endMark } = end.answer;
    const { response } = this;
    if (endMark === "connection") endWithConnection(response);
    else response.setHeader("content-length", body.length);
    response.writeHead(status, answerHeaders(headers));
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

  private note(admitted: Admitted, end: AttemptEnd, step: NextStep): void {
    if (step.kind === "deliver") return;
    this.options.emit(215, {
      request: this.call.id,
      runner: admitted.runner.server.id,
      end: end.kind,
      reason: reasonOf(end),
      next: step.kind,
      attempt: this.sent + this.unsent,
    });
  }

  private noteAnswered({ runner }: Admitted, end: AttemptEnd): void {
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
      attempts: this.sent + this.unsent,
      waitedMs: Math.round(this.waitedMs),
      totalMs: Math.round(this.ageMs()),
    });
  }

  private giveUp(reason: GiveUpReason): void {
    if (this.givenUp !== undefined) return;
    this.givenUp = reason;
    if (this.attempt !== undefined) {
      this.attempt.giveUp(reason);
      return;
    }
    this.options.gate.cancel(this.call.id, {
      error: failure(reason === "overdue" ? 1503 : 1218),
      retryAfterMs: REFUSED_RETRY_MS,
    });
  }
}

function wasSent(end: AttemptEnd): boolean {
  if (end.kind === "given-up") return end.wasSent;
  return end.kind !== "unsent";
}

function verdictOf(end: AttemptEnd): Verdict {
  switch (end.kind) {
    case "streamed":
      return "served";
    case "answered":
      return end.answer.status < 500 ? "served" : "none";
    case "not-run":
      return end.status === MISDIRECTED ? "replaced" : "full";
    case "unsent":
    case "broken":
      return "failed";
    case "given-up":
      return end.reason === "stalled" ? "failed" : "none";
  }
}

/** Of an attempt that is passed on. */
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
  return error === 1214 ? REFUSED_RETRY_MS : 0;
}
