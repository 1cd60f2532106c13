/**
 * The entry's side of all sessions: a state machine for requests, their
 * attempts and their outcomes. Inputs are method calls with the current time;
 * effects are passed to `perform`.
 */
import { Left, Right, type Either } from "purify-ts";
import {
  type ApricotdeckError,
  type ErrorNumber,
  failure,
} from "../shared/errors.js";
import { handleAttemptFrame, type AnswerContext } from "./entry-answers.js";
import { EntryAttempts } from "./entry-attempts.js";
import { LostSessions } from "./lost-sessions.js";
import { EntryLink } from "./entry-link.js";
import { EntryRequests } from "./entry-requests.js";
import { type RequestState } from "./request-state.js";
import type {
  DispatchResult,
  DispatchOptions,
  EntrySessionsOptions,
} from "./entry-types.js";
import { DropCounter, type DropCounts } from "./drops.js";
import type { Conservation } from "./ledger.js";
import { SESSION_LIMITS, type SessionLimits } from "./limits.js";
import type { AgentFrame, Call, CloseReply } from "./types.js";

export interface EntryStatus {
  readonly conservation: Conservation;
  readonly dropped: DropCounts;
  readonly leaving: boolean;
  readonly sessions: readonly SessionStatus[];
}

export interface SessionStatus {
  readonly runner: string;
  readonly session: number;
  readonly live: boolean;
  readonly leaving: boolean;
  readonly attempts: number;
  /** Number of lost sessions whose close isn't confirmed yet. */
  readonly unproved: number;
}

/** Errors by which a claim proves that an idempotency key never ran. */
const ERRORS_PROVING_NOT_RUN: ReadonlySet<ErrorNumber> = new Set([
  1301, 1305, 1306,
]);

export class EntrySessions {
  private readonly links = new Map<string, EntryLink>();
  private readonly requests: EntryRequests;
  private readonly attempts: EntryAttempts;
  private readonly lostSessions: LostSessions;
  private readonly drops: DropCounter;
  private readonly answerContext: AnswerContext;
  private leavingUntil: number | undefined;
  private lastTickAt: number | undefined;

  private constructor(
    private readonly options: EntrySessionsOptions,
    private readonly limits: SessionLimits,
  ) {
    const { perform, emit, without } = options;
    this.requests = EntryRequests.create(options, limits);
    const { requests } = this;
    this.attempts = EntryAttempts.create(options, requests, limits);
    this.lostSessions = LostSessions.create(
      options,
      requests,
      this.attempts,
      limits,
    );
    this.drops = DropCounter.create(emit);
    this.answerContext = {
      perform,
      emit,
      requests,
      drop: (attempt, reason) => {
        this.drops.count(attempt, reason);
      },
      resume: (request, now) => {
        this.attempts.resume(request, now);
      },
      checksPieceIndex: without !== "piece-index",
      checksChecksum: without !== "checksum",
      checksEndMark: without !== "end-mark",
    };
  }

  static create(options: EntrySessionsOptions): EntrySessions {
    return new EntrySessions(options, options.limits ?? SESSION_LIMITS);
  }

  /** Maintains a session to the agent of this runner from now on. */
  addAgent(runner: string, now: number): void {
    if (this.links.has(runner)) return;
    const link = EntryLink.create(runner, this.options, this.limits);
    this.links.set(runner, link);
    link.connect(now);
  }

  /** Ends the session and abandons its attempts without waiting for a close. */
  removeAgent(runner: string, now: number): void {
    const link = this.links.get(runner);
    if (link === undefined) return;
    link.disconnect("removed", now);
    this.links.delete(runner);
    const lost = [...link.lostSessions.values()];
    const unresolved = lost.flatMap(({ attempts }) => [...attempts.values()]);
    for (const request of [...unresolved, ...link.requestsToResume]) {
      this.requests.abandonRun(request, 1211, "lost", now);
    }
  }

  /** Accepts a caller's request and asks for its placement. */
  accept(
    call: Call,
    deadlineAt: number,
    now: number,
  ): Either<ApricotdeckError, void> {
    if (this.leavingUntil !== undefined) return Left(failure(1213));
    const { request: id } = call;
    if (this.requests.byId.has(id)) return Left(failure(1201, { request: id }));
    const request = this.requests.accept(call, deadlineAt, now);
    this.requests.requestPlacement(request, undefined);
    return Right(undefined);
  }

  /**
   * Sends a placed request to a runner. Left means that nothing was sent;
   * unless the deadline has passed, another runner may be chosen.
   */
  dispatch(
    id: string,
    runner: string,
    now: number,
    options: DispatchOptions = {},
  ): DispatchResult {
    const request = this.requests.byId.get(id);
    if (request?.phase !== "placing") return Left(failure(1201));
    if (now >= request.deadlineAt) {
      // A process that was suspended past the deadline must not start work
      // whose caller no longer waits for it.
      this.endRequest(request, 1212, now);
      return Left(failure(1212));
    }
    const link = this.links.get(runner);
    if (link?.isLive !== true) return Left(failure(1407, { runner }));
    if (link.leaving && options.attachTo === undefined) {
      return Left(failure(1402, { runner }));
    }
    const { agentIncarnation } = link;
    if ((options.agentIncarnation ?? agentIncarnation) !== agentIncarnation) {
      return Left(failure(1401, { runner }));
    }
    const attempt = options.attempt ?? this.options.createAttemptId();
    request.link = link;
    request.run = options.attachTo ?? attempt;
    request.startEvidence = "maybe";
    request.dispatchCount += 1;
    this.attempts.send(request, link, attempt, now);
    this.options.emit(122, { request: id, attempt, runner });
    return Right(attempt);
  }

  /** Placement, admission or a claim refuses a request that isn't placed. */
  refuse(id: string, error: ErrorNumber, now: number, retryAfterMs = 0): void {
    const request = this.requests.byId.get(id);
    if (request?.phase !== "placing") return;
    if (ERRORS_PROVING_NOT_RUN.has(error)) request.earlierEvidence = "none";
    this.requests.failRequest(request, error, now, retryAfterMs);
  }

  /**
   * The caller disconnected or stopped reading. Work that isn't repeatable
   * continues at the agent, which buffers its answer for a repeated request.
   */
  cancel(id: string, now: number, error: ErrorNumber = 1218): void {
    const request = this.requests.byId.get(id);
    if (request !== undefined) this.endRequest(request, error, now);
  }

  /** Handles a frame from the connection with this number. */
  receive(
    runner: string,
    number: number,
    frame: AgentFrame,
    now: number,
  ): void {
    const link = this.links.get(runner);
    if (link?.number !== number) {
      // An abandoned connection can still deliver frames that were in flight.
      // They could interleave with those of its successor.
      this.drops.count("", "connection-gone");
      return;
    }
    if (link.isLive) link.markReceived(now);
    switch (frame.kind) {
      case "heartbeat":
        return;
      case "opened":
        this.handleOpened(link, frame, now);
        return;
      case "load":
        this.options.perform({ kind: "load", runner, report: frame.report });
        return;
      case "leaving":
        this.markLeaving(runner, "notice");
        // Frames are ordered, so no new dispatch follows this heartbeat.
        link.sendHeartbeat(now);
        return;
      default:
        handleAttemptFrame(this.answerContext, link, frame, now);
        this.afterAttemptFrame(link, frame, now);
    }
  }

  /** The connection with this number failed or was closed. */
  connectionLost(
    runner: string,
    number: number,
    reason: string,
    now: number,
  ): void {
    const link = this.links.get(runner);
    if (link?.number !== number) return;
    this.lostSessions.loseSession(link, reason, now);
  }

  /** The agent replied to the close of the session with this number. */
  closeAnswered(
    runner: string,
    number: number,
    reply: CloseReply,
    now: number,
  ): void {
    const link = this.links.get(runner);
    if (link !== undefined)
      this.lostSessions.closeAnswered(link, number, reply, now);
  }

  closeFailed(runner: string, number: number, now: number): void {
    const link = this.links.get(runner);
    if (link !== undefined) this.lostSessions.closeFailed(link, number, now);
  }

  /** The agent takes no new work, according to the given source. */
  markLeaving(runner: string, source: "notice" | "list" | "refusal"): void {
    const link = this.links.get(runner);
    if (link === undefined || link.leaving) return;
    link.leaving = true;
    this.options.emit(145, { runner, source });
    this.options.perform({ kind: "agent-leaving", runner });
  }

  /** Stops accepting requests; those in flight have the grace period to end. */
  leave(graceMs: number, now: number): void {
    this.leavingUntil ??= now + graceMs;
  }

  /** True when a leaving process can exit without aborting a request. */
  get isDrained(): boolean {
    return this.leavingUntil !== undefined && this.requests.byId.size === 0;
  }

  /** Number of requests without a final outcome. */
  get inFlight(): number {
    return this.requests.byId.size;
  }

  tick(now: number): void {
    const pauseMs = now - (this.lastTickAt ?? now);
    this.lastTickAt = now;
    for (const link of this.links.values()) {
      // After a pause of this process, frames that arrived meanwhile are still
      // unread; checking for silence first would end every session at once.
      if (pauseMs >= this.limits.silenceTimeoutMs) link.resetSilenceTimer(now);
      this.tickLink(link, now);
    }
    for (const request of this.requests.byId.values()) {
      if (now >= request.deadlineAt) this.endRequest(request, 1212, now);
      else if (now >= request.giveUpAt) {
        this.requests.abandonRun(request, 1210, "lost", now);
      }
    }
    this.failAfterGrace(now);
    this.requests.conservation();
  }

  status(): EntryStatus {
    return {
      conservation: this.requests.conservation(),
      dropped: this.drops.figures(),
      leaving: this.leavingUntil !== undefined,
      sessions: [...this.links.values()].map((link) => ({
        runner: link.runner,
        session: link.number,
        live: link.isLive,
        leaving: link.leaving,
        attempts: link.outstanding.size,
        unproved: link.lostSessions.size,
      })),
    };
  }

  private handleOpened(
    link: EntryLink,
    frame: Extract<AgentFrame, { kind: "opened" }>,
    now: number,
  ): void {
    if (!link.handleOpened(frame.session, frame.group, now)) {
      this.drops.count("", "session-not-live");
      return;
    }
    for (const request of link.requestsToResume)
      this.attempts.resume(request, now);
  }

  private afterAttemptFrame(
    link: EntryLink,
    frame: AgentFrame,
    now: number,
  ): void {
    if (frame.kind === "refused" && frame.error === 1402) {
      this.markLeaving(link.runner, "refusal");
    }
    // Sent at once, because a leaving agent waits until all is settled.
    const isLast = frame.kind !== "piece" && link.outstanding.size === 0;
    if (link.leaving && link.isLive && isLast) link.sendHeartbeat(now);
  }

  private tickLink(link: EntryLink, now: number): void {
    const lossReason = link.tick(now);
    if (lossReason !== undefined)
      this.lostSessions.loseSession(link, lossReason, now);
    this.lostSessions.tick(link, now);
  }

  /** Ends a request without an answer and cancels its work if repeatable. */
  private endRequest(
    request: RequestState,
    error: ErrorNumber,
    now: number,
  ): void {
    const { link, attempt, call, phase } = request;
    if (phase === "dispatched" && call.repeatable && link?.isLive === true) {
      link.send({ kind: "cancel", attempt });
    }
    const wasNeverDispatched = error === 1212 && phase === "placing";
    this.requests.failRequest(request, wasNeverDispatched ? 1502 : error, now);
  }

  private failAfterGrace(now: number): void {
    if (this.leavingUntil === undefined || now < this.leavingUntil) return;
    for (const request of this.requests.byId.values()) {
      this.requests.failRequest(request, 1219, now);
    }
  }
}
