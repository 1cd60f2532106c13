/**
 * The entry's side of all sessions: requests, their attempts, and the proofs
 * that decide what a caller is told. Inputs are method calls with the time;
 * what has to be done comes out through `perform`.
 */
import { Left, Right, type Either } from "purify-ts";
import {
  type ApricotdeckError,
  type ErrorNumber,
  failure,
} from "../shared/errors.js";
import { takeAttemptFrame, type AnswerTools } from "./entry-answers.js";
import { EntryLink, type LostSession } from "./entry-link.js";
import { EntryRequests } from "./entry-requests.js";
import { type RequestState } from "./entry-request.js";
import type {
  Dispatched,
  DispatchOptions,
  EntrySessionsOptions,
} from "./entry-types.js";
import { DropCounter, type DropFigures } from "./drops.js";
import type { Conservation } from "./ledger.js";
import { SESSION_LIMITS, type SessionLimits } from "./limits.js";
import type { AgentFrame, Call, CloseReply } from "./types.js";

const NO_BYTES = new Uint8Array(0);

export interface EntryStatus {
  readonly conservation: Conservation;
  readonly dropped: DropFigures;
  readonly leaving: boolean;
  readonly sessions: readonly SessionStatus[];
}

export interface SessionStatus {
  readonly runner: string;
  readonly session: number;
  readonly live: boolean;
  readonly leaving: boolean;
  readonly attempts: number;
  /** Lost sessions that the agent hasn't closed yet. */
  readonly unproved: number;
}

export class EntrySessions {
  private readonly links = new Map<string, EntryLink>();
  private readonly requests: EntryRequests;
  private readonly drops: DropCounter;
  private readonly answers: AnswerTools;
  private leavingUntil: number | undefined;
  private lastTick: number | undefined;

  private constructor(
    private readonly options: EntrySessionsOptions,
    private readonly limits: SessionLimits,
  ) {
    const { perform, emit, without } = options;
    this.requests = EntryRequests.create(options, limits);
    this.drops = DropCounter.create(emit);
    this.answers = {
      perform,
      emit,
      requests: this.requests,
      drop: (attempt, reason) => {
        this.drops.count(attempt, reason);
      },
      resume: (request, now) => {
        this.resume(request, now);
      },
      checksIndex: without !== "piece-index",
      checksChecksum: without !== "checksum",
    };
  }

  static create(options: EntrySessionsOptions): EntrySessions {
    return new EntrySessions(options, options.limits ?? SESSION_LIMITS);
  }

  /** Keeps a session to the agent of this runner from now on. */
  addAgent(runner: string, now: number): void {
    if (this.links.has(runner)) return;
    const link = EntryLink.create(runner, this.options, this.limits);
    this.links.set(runner, link);
    link.connect(now);
  }

  /** Ends the session; its attempts are resolved as after a loss. */
  removeAgent(runner: string, now: number): void {
    const link = this.links.get(runner);
    if (link === undefined) return;
    link.lose("removed", now);
    this.links.delete(runner);
    const lost = [...link.lost.values()];
    const doubtful = lost.flatMap(({ attempts }) => [...attempts.values()]);
    for (const request of [...doubtful, ...link.resuming]) {
      this.requests.abandon(request, 1211, "lost", now);
    }
  }

  /** Takes a caller's request and asks for its place. */
  accept(
    call: Call,
    deadlineAt: number,
    now: number,
  ): Either<ApricotdeckError, void> {
    if (this.leavingUntil !== undefined) return Left(failure(1213));
    const { request: id } = call;
    if (this.requests.byId.has(id)) return Left(failure(1201, { request: id }));
    const request = this.requests.accept(call, deadlineAt, now);
    this.requests.askForPlace(request, undefined);
    return Right(undefined);
  }

  /**
   * Sends a placed request to a runner. Left: nothing was sent, and another
   * runner may be chosen.
   */
  dispatch(
    id: string,
    runner: string,
    now: number,
    options: DispatchOptions = {},
  ): Dispatched {
    const request = this.requests.byId.get(id);
    if (request?.phase !== "placing") return Left(failure(1201));
    if (now >= request.deadlineAt) {
      // A process that slept through the deadline must not start work that
      // its caller was told about long ago.
      this.end(request, 1212, now);
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
    request.evidence = "maybe";
    request.placements += 1;
    this.send(request, link, attempt, now);
    this.options.emit(122, { request: id, attempt, runner });
    return Right(attempt);
  }

  /** Placement, admission or a claim refuses a request that waits for it. */
  refuse(id: string, error: ErrorNumber, now: number, retryAfterMs = 0): void {
    const request = this.requests.byId.get(id);
    if (request?.phase !== "placing") return;
    this.requests.giveUp(request, error, now, retryAfterMs);
  }

  /**
   * The caller has gone or has stopped reading. Work that may not be repeated
   * goes on at the agent, which holds its answer for the caller's repeat.
   */
  cancel(id: string, now: number, error: ErrorNumber = 1218): void {
    const request = this.requests.byId.get(id);
    if (request !== undefined) this.end(request, error, now);
  }

  /** A frame that came in on the connection of this number. */
  receive(
    runner: string,
    number: number,
    frame: AgentFrame,
    now: number,
  ): void {
    const link = this.links.get(runner);
    if (link?.number !== number) {
      // A connection given up still delivers what was under way; its frames
      // are late by definition and could cross with those of its successor.
      this.drops.count("", "connection-gone");
      return;
    }
    if (link.isLive) link.heard(now);
    switch (frame.kind) {
      case "heartbeat":
        return;
      case "opened":
        this.opened(link, frame, now);
        return;
      case "load":
        this.options.perform({ kind: "load", runner, report: frame.report });
        return;
      case "leaving":
        this.markLeaving(runner, "notice");
        // Tells the agent that every dispatch before this has reached it.
        link.sendHeartbeat(now);
        return;
      default:
        takeAttemptFrame(this.answers, link, frame, now);
        this.afterAttemptFrame(link, frame, now);
    }
  }

  /** The connection of this number failed or ended. */
  connectionLost(
    runner: string,
    number: number,
    reason: string,
    now: number,
  ): void {
    const link = this.links.get(runner);
    if (link?.number !== number) return;
    this.lose(link, reason, now);
  }

  /** The agent's answer to the close of the session of this number. */
  closeAnswered(
    runner: string,
    number: number,
    reply: CloseReply,
    now: number,
  ): void {
    const link = this.links.get(runner);
    const lost = link?.lost.get(number);
    if (link === undefined || lost === undefined) return;
    link.lost.delete(number);
    const { agentIncarnation } = lost.session;
    const isSame = reply.agentIncarnation === agentIncarnation;
    if (
      reply.closed &&
      (isSame || this.options.without === "agent-incarnation")
    ) {
      this.proved(link, lost, reply, now);
      return;
    }
    // A restarted agent knows nothing of the session: what its predecessor
    // started can only be found through the engine. An agent that has
    // forgotten the session can prove nothing.
    for (const request of lost.attempts.values()) {
      if (isSame) this.requests.abandon(request, 1211, "lost", now);
      else this.awaitResume(link, request, now);
    }
  }

  /** The close got no answer; it is sent again until the doubt limit. */
  closeFailed(runner: string, number: number, now: number): void {
    const lost = this.links.get(runner)?.lost.get(number);
    if (lost !== undefined) lost.askAt = now + this.limits.closeAgainMs;
  }

  /** The agent takes no new work: by its notice, the VM list or a refusal. */
  markLeaving(runner: string, source: "notice" | "list" | "refusal"): void {
    const link = this.links.get(runner);
    if (link === undefined || link.leaving) return;
    link.leaving = true;
    this.options.emit(145, { runner, source });
    this.options.perform({ kind: "agent-leaving", runner });
  }

  /** Stops accepting; what is in flight goes on until the grace has passed. */
  leave(graceMs: number, now: number): void {
    this.leavingUntil ??= now + graceMs;
  }

  /** True when the process can end without cutting a request. */
  get isDrained(): boolean {
    return this.leavingUntil !== undefined && this.requests.byId.size === 0;
  }

  /** Requests without a final outcome. */
  get inFlight(): number {
    return this.requests.byId.size;
  }

  tick(now: number): void {
    const pauseMs = now - (this.lastTick ?? now);
    this.lastTick = now;
    for (const link of this.links.values()) {
      // After a pause of this process what arrived meanwhile still waits to
      // be read; judging silence first would drop every session at once.
      if (pauseMs >= this.limits.silentAfterMs) link.forgivePause(now);
      this.tickLink(link, now);
    }
    for (const request of this.requests.byId.values()) {
      if (now >= request.deadlineAt) this.end(request, 1212, now);
      else if (now >= request.giveUpAt) {
        this.requests.abandon(request, 1210, "lost", now);
      }
    }
    this.endGrace(now);
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
        unproved: link.lost.size,
      })),
    };
  }

  private send(
    request: RequestState,
    link: EntryLink,
    attempt: string,
    now: number,
  ): void {
    const isFresh = request.run === attempt;
    const call = isFresh ? request.call : { ...request.call, body: NO_BYTES };
    request.phase = "dispatched";
    request.giveUpAt = Number.POSITIVE_INFINITY;
    this.requests.nameAttempt(request, attempt);
    const sequence = link.hold(request);
    link.send(
      {
        kind: "dispatch",
        sequence,
        attempt,
        call,
        deadlineMs: Math.max(1, request.deadlineAt - now),
        fromIndex: request.nextIndex,
        resumeOf: isFresh ? "" : request.run,
      },
      now,
    );
  }

  private opened(
    link: EntryLink,
    frame: Extract<AgentFrame, { kind: "opened" }>,
    now: number,
  ): void {
    if (!link.opened(frame.session, frame.group, now)) {
      this.drops.count("", "session-not-live");
      return;
    }
    for (const request of link.resuming) this.resume(request, now);
  }

  private afterAttemptFrame(
    link: EntryLink,
    frame: AgentFrame,
    now: number,
  ): void {
    if (frame.kind === "refused" && frame.error === 1402) {
      this.markLeaving(link.runner, "refusal");
    }
    // A leaving agent ends when the entries need nothing more from it.
    const isLast = frame.kind !== "piece" && link.outstanding.size === 0;
    if (link.leaving && link.isLive && isLast) link.sendHeartbeat(now);
  }

  private tickLink(link: EntryLink, now: number): void {
    const trouble = link.tick(now);
    if (trouble !== undefined) this.lose(link, trouble, now);
    for (const lost of link.lost.values()) {
      if (now >= lost.giveUpAt) this.unproved(link, lost, now);
      else if (now >= lost.askAt) this.askForClose(link, lost);
    }
  }

  private lose(link: EntryLink, reason: string, now: number): void {
    const lost = link.lose(reason, now);
    if (lost === undefined) return;
    for (const request of lost.attempts.values()) request.phase = "doubt";
    this.askForClose(link, lost);
  }

  private askForClose(link: EntryLink, lost: LostSession): void {
    lost.askAt = Number.POSITIVE_INFINITY;
    const { runner } = link;
    const { session } = lost;
    this.options.perform({ kind: "close-session", runner, session });
  }

  /**
   * The agent has closed the session: what it lists has started and goes on
   * from the next piece; everything else can never start any more.
   */
  private proved(
    link: EntryLink,
    lost: LostSession,
    reply: CloseReply,
    now: number,
  ): void {
    const { runner } = link;
    const session = lost.session.number;
    const started = new Set(reply.started.map(({ attempt }) => attempt));
    this.options.emit(143, { runner, session, started: started.size });
    for (const request of lost.attempts.values()) {
      const isResumption = request.run !== request.attempt;
      if (started.has(request.attempt)) {
        request.evidence = "started";
        this.awaitResume(link, request, now);
      } else if (isResumption) {
        this.awaitResume(link, request, now);
      } else {
        this.requests.placeAgain(request, 1403, 0, now);
      }
    }
  }

  /** No proof came: what was sent may have run, and callers are told so. */
  private unproved(link: EntryLink, lost: LostSession, now: number): void {
    const { runner } = link;
    const session = lost.session.number;
    link.lost.delete(session);
    const requests = lost.attempts.size;
    if (requests > 0) this.options.emit(144, { runner, session, requests });
    for (const request of lost.attempts.values()) {
      if (this.options.without === "unanswered-close")
        request.evidence = "none";
      this.requests.abandon(request, 1211, "lost", now);
    }
  }

  private awaitResume(
    link: EntryLink,
    request: RequestState,
    now: number,
  ): void {
    request.holder?.delete(request.sequence);
    request.holder = undefined;
    request.phase = "resuming";
    request.giveUpAt = now + this.limits.resumeMs;
    link.resuming.add(request);
    if (link.isLive) this.resume(request, now);
  }

  /** Goes on with the run of the request under a new attempt. */
  private resume(request: RequestState, now: number): void {
    const { link } = request;
    if (link === undefined) return;
    request.holder?.delete(request.sequence);
    link.resuming.delete(request);
    request.resumes += 1;
    if (request.resumes > this.limits.resumes) {
      this.requests.abandon(request, 1217, "broken", now);
      return;
    }
    const attempt = this.options.createAttemptId();
    this.send(request, link, attempt, now);
    const { runner } = link;
    const { request: id } = request.call;
    const fromIndex = request.nextIndex;
    this.options.emit(126, { request: id, attempt, runner, fromIndex });
  }

  /** Gives a request up for good; its work is cancelled where it may be. */
  private end(request: RequestState, error: ErrorNumber, now: number): void {
    const { link, attempt, call, phase } = request;
    if (phase === "dispatched" && call.repeatable && link?.isLive === true) {
      link.send({ kind: "cancel", attempt }, now);
    }
    const neverLeft = error === 1212 && phase === "placing";
    this.requests.giveUp(request, neverLeft ? 1502 : error, now);
  }

  private endGrace(now: number): void {
    if (this.leavingUntil === undefined || now < this.leavingUntil) return;
    for (const request of this.requests.byId.values()) {
      this.requests.giveUp(request, 1219, now);
    }
  }
}
