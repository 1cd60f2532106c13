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
import { EntryAttempts } from "./entry-attempts.js";
import { EntryDoubt } from "./entry-doubt.js";
import { EntryLink } from "./entry-link.js";
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

/** Refusals by which the claims prove that a caller's key never ran. */
const provesNotRun: ReadonlySet<ErrorNumber> = new Set([1301, 1305, 1306]);

export class EntrySessions {
  private readonly links = new Map<string, EntryLink>();
  private readonly requests: EntryRequests;
  private readonly attempts: EntryAttempts;
  private readonly doubt: EntryDoubt;
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
    const { requests } = this;
    this.attempts = EntryAttempts.create(options, requests, limits);
    this.doubt = EntryDoubt.create(options, requests, this.attempts, limits);
    this.drops = DropCounter.create(emit);
    this.answers = {
      perform,
      emit,
      requests,
      drop: (attempt, reason) => {
        this.drops.count(attempt, reason);
      },
      resume: (request, now) => {
        this.attempts.resume(request, now);
      },
      checksIndex: without !== "piece-index",
      checksChecksum: without !== "checksum",
      checksEndMark: without !== "end-mark",
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
    this.attempts.send(request, link, attempt, now);
    this.options.emit(122, { request: id, attempt, runner });
    return Right(attempt);
  }

  /** Placement, admission or a claim refuses a request that waits for it. */
  refuse(id: string, error: ErrorNumber, now: number, retryAfterMs = 0): void {
    const request = this.requests.byId.get(id);
    if (request?.phase !== "placing") return;
    if (provesNotRun.has(error)) request.earlier = "none";
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
    this.doubt.lose(link, reason, now);
  }

  /** The agent's answer to the close of the session of this number. */
  closeAnswered(
    runner: string,
    number: number,
    reply: CloseReply,
    now: number,
  ): void {
    const link = this.links.get(runner);
    if (link !== undefined) this.doubt.closeAnswered(link, number, reply, now);
  }

  closeFailed(runner: string, number: number, now: number): void {
    const link = this.links.get(runner);
    if (link !== undefined) this.doubt.closeFailed(link, number, now);
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

  private opened(
    link: EntryLink,
    frame: Extract<AgentFrame, { kind: "opened" }>,
    now: number,
  ): void {
    if (!link.opened(frame.session, frame.group, now)) {
      this.drops.count("", "session-not-live");
      return;
    }
    for (const request of link.resuming) this.attempts.resume(request, now);
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
    if (trouble !== undefined) this.doubt.lose(link, trouble, now);
    this.doubt.tick(link, now);
  }

  /** Gives a request up for good; its work is cancelled where it may be. */
  private end(request: RequestState, error: ErrorNumber, now: number): void {
    const { link, attempt, call, phase } = request;
    if (phase === "dispatched" && call.repeatable && link?.isLive === true) {
      link.send({ kind: "cancel", attempt });
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
