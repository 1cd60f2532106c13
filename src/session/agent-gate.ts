/**
 * The gate of one agent: the last word on whether an attempt starts. An
 * attempt starts at most once, and only in a live session of this
 * incarnation; whatever is answered about it stays true.
 */
import type { ErrorNumber } from "../shared/errors.js";
import { AgentRuns } from "./agent-runs.js";
import { AttemptMemory } from "./attempt-memory.js";
import {
  type AgentSession,
  createAgentSession,
  sessionKey,
  settle,
} from "./agent-session.js";
import { isOver } from "./agent-run.js";
import type {
  AgentGateOptions,
  AgentStatus,
  AttemptState,
  DispatchFigures,
} from "./agent-types.js";
import { DropCounter } from "./drops.js";
import { SESSION_LIMITS, type SessionLimits } from "./limits.js";
import type {
  AgentFrame,
  AttemptProgress,
  CloseReply,
  DispatchFrame,
  EntryFrame,
  Header,
  LoadReport,
  SessionId,
} from "./types.js";

type OpenFrame = Extract<EntryFrame, { kind: "open" }>;

export class AgentGate {
  private readonly byKey = new Map<string, AgentSession>();
  private readonly byConnection = new Map<number, AgentSession>();
  /** Highest session number closed or opened, by entry incarnation. */
  private readonly highestNumber = new Map<string, number>();
  private readonly withdrawn: AttemptMemory;
  private readonly startedOnce: AttemptMemory;
  private readonly runs: AgentRuns;
  private readonly drops: DropCounter;
  private readonly counts = {
    received: 0,
    started: 0,
    attached: 0,
    refused: 0,
    dropped: 0,
  };
  private leaving:
    { readonly graceMs: number; readonly until: number } | undefined;
  private drained = false;
  private lastTick: number | undefined;

  private constructor(
    private readonly options: AgentGateOptions,
    private readonly limits: SessionLimits,
  ) {
    const { perform, without } = options;
    const { rememberMs, rememberAttempts } = limits;
    this.runs = AgentRuns.create(perform, limits, without);
    this.withdrawn = AttemptMemory.create(rememberMs, rememberAttempts);
    this.startedOnce = AttemptMemory.create(rememberMs, rememberAttempts);
    this.drops = DropCounter.create(options.emit);
  }

  static create(options: AgentGateOptions): AgentGate {
    return new AgentGate(options, options.limits ?? SESSION_LIMITS);
  }

  /** A frame that came in on a connection, numbered by the daemon. */
  receive(connection: number, frame: EntryFrame, now: number): void {
    if (frame.kind === "open") {
      this.open(connection, frame, now);
      return;
    }
    const session = this.byConnection.get(connection);
    if (session?.isLive !== true) {
      this.drops.count("", "session-not-live");
      if (frame.kind === "dispatch") this.counts.received += 1;
      if (frame.kind === "dispatch") this.counts.dropped += 1;
      return;
    }
    session.heardAt = now;
    switch (frame.kind) {
      case "dispatch":
        this.dispatch(session, frame, now);
        return;
      case "cancel":
        this.runs.cancel(frame.attempt);
        return;
      case "heartbeat":
        session.leavingSeen = frame.leavingSeen;
        this.settle(session, frame.settledBelow);
        return;
    }
  }

  /** The connection failed or ended: nothing more can start on it. */
  connectionLost(connection: number, now: number): void {
    const session = this.byConnection.get(connection);
    if (session !== undefined) this.tombstone(session, now);
    this.byConnection.delete(connection);
  }

  /**
   * Closes a session for good and tells what had started in it. The order
   * matters: first nothing more can start, then the list is taken. A session
   * that this incarnation doesn't know proves nothing.
   */
  close(id: SessionId, now: number): CloseReply {
    const { incarnation: agentIncarnation, without } = this.options;
    const nothing = { closed: false, agentIncarnation, started: [] };
    if (id.agentIncarnation !== agentIncarnation) {
      if (without !== "agent-incarnation") return nothing;
      return { ...nothing, closed: true };
    }
    const key = sessionKey(id.entryIncarnation, id.number);
    const session = this.byKey.get(key);
    if (session === undefined) return nothing;
    if (without !== "tombstone") this.tombstone(session, now);
    session.isProved = true;
    return { closed: true, agentIncarnation, started: this.progress(session) };
  }

  /**
   * What is known of an attempt that was meant for an incarnation of this
   * agent, for an entry that repeats its call.
   */
  find(attempt: string, agentIncarnation: string): AttemptState {
    const run = this.runs.find(attempt);
    if (run !== undefined) return isOver(run) ? "ended" : "running";
    if (this.startedOnce.has(attempt)) return "gone";
    if (agentIncarnation !== this.options.incarnation) return "lost";
    return this.withdrawn.has(attempt) ? "withdrawn" : "unknown";
  }

  /**
   * Makes sure that an attempt of work that may run at most once never starts
   * here. False when it may have started, also long ago with its answer gone,
   * or when no more can be remembered: forgetting one would let a late
   * dispatch start after its withdrawal was promised. False also for an
   * attempt meant for an older incarnation, which may have started it.
   */
  withdraw(attempt: string, agentIncarnation: string, now: number): boolean {
    if (agentIncarnation !== this.options.incarnation) return false;
    if (this.withdrawn.has(attempt)) return true;
    if (this.runs.find(attempt) !== undefined) return false;
    if (this.startedOnce.has(attempt)) return false;
    if (!this.startedOnce.isComplete(now) || this.withdrawn.isFull)
      return false;
    this.withdrawn.add(attempt, now);
    return true;
  }

  /** Refuses new work from now on and tells every entry. */
  leave(graceMs: number, now: number): void {
    if (this.leaving !== undefined) return;
    this.leaving = { graceMs, until: now + graceMs };
    for (const session of this.byKey.values()) {
      if (session.isLive) this.send(session, { kind: "leaving", graceMs }, now);
    }
  }

  /** Sends the engine's load to every entry. */
  report(report: LoadReport, now: number): void {
    for (const session of this.byKey.values()) {
      if (session.isLive) this.send(session, { kind: "load", report }, now);
    }
  }

  /** The engine has taken the work. */
  runAccepted(run: string, stream: number): void {
    this.runs.accepted(run, stream);
  }

  runHead(
    run: string,
    stream: number,
    status: number,
    headers: readonly Header[],
    isEndMarked: boolean,
  ): void {
    this.runs.head(run, stream, status, headers, isEndMarked);
  }

  runPiece(run: string, stream: number, data: Uint8Array): void {
    this.runs.piece(run, stream, data);
  }

  runEnded(run: string, stream: number, now: number): void {
    this.runs.end(run, stream, now);
  }

  runFailed(
    run: string,
    stream: number,
    error: ErrorNumber,
    now: number,
  ): void {
    this.runs.failed(run, stream, error, now);
  }

  /** The engine never got the work, for sure. */
  runNotStarted(
    run: string,
    stream: number,
    error: ErrorNumber,
    retryAfterMs: number,
  ): void {
    const attempt = this.runs.notStarted(run, stream, error, retryAfterMs);
    if (attempt === undefined) return;
    for (const session of this.byKey.values()) unmark(session, attempt);
  }

  tick(now: number): void {
    const pauseMs = now - (this.lastTick ?? now);
    this.lastTick = now;
    const paused = pauseMs >= this.limits.silentAfterMs;
    for (const session of this.byKey.values()) {
      if (paused) session.heardAt = now;
      this.tickSession(session, now);
    }
    this.runs.tick(now);
    this.withdrawn.tick(now);
    this.startedOnce.tick(now);
    this.finishLeaving(now);
    this.checkDispatches();
  }

  /** Runs that aren't over. */
  get running(): number {
    return this.runs.running;
  }

  status(): AgentStatus {
    const live = [...this.byKey.values()].filter(({ isLive }) => isLive);
    return {
      incarnation: this.options.incarnation,
      leaving: this.leaving !== undefined,
      sessions: live.length,
      running: this.runs.running,
      held: this.runs.held,
      heldBytes: this.runs.bytes,
      withdrawn: this.withdrawn.size,
      dispatches: this.checkDispatches(),
    };
  }

  /**
   * A session number counts once: an opening that was under way while its
   * session was closed, or an older one, would let late dispatches in.
   */
  private open(connection: number, frame: OpenFrame, now: number): void {
    const { entry, entryIncarnation, number } = frame;
    const highest = this.highestNumber.get(entryIncarnation) ?? 0;
    if (this.byConnection.has(connection) || number <= highest) {
      const reason = "number used before";
      this.options.emit(147, { entry, session: number, reason });
      if (!this.byConnection.has(connection)) {
        this.options.perform({ kind: "disconnect", connection });
      }
      return;
    }
    this.highestNumber.set(entryIncarnation, number);
    for (const session of this.byKey.values()) {
      if (session.id.entryIncarnation !== entryIncarnation) continue;
      if (session.isLive) this.end(session, now);
    }
    const { incarnation: agentIncarnation, runner, group } = this.options;
    const id = { entry, entryIncarnation, agentIncarnation, number };
    const session = createAgentSession(id, connection, now);
    this.byKey.set(sessionKey(entryIncarnation, number), session);
    this.byConnection.set(connection, session);
    this.send(session, { kind: "opened", session: id, runner, group }, now);
    if (this.leaving === undefined) return;
    const { graceMs } = this.leaving;
    this.send(session, { kind: "leaving", graceMs }, now);
  }

  private dispatch(
    session: AgentSession,
    frame: DispatchFrame,
    now: number,
  ): void {
    this.counts.received += 1;
    const { sequence, attempt, resumeOf } = frame;
    // A doubled dispatch would start its work twice. Numbers only rise, so
    // one number remembers every dispatch of the session.
    const isDoubled = sequence <= session.lastSequence;
    if (isDoubled && this.options.without !== "dispatch-once") {
      this.counts.dropped += 1;
      this.drops.count(attempt, "dispatch-doubled");
      return;
    }
    session.lastSequence = sequence;
    if (resumeOf === "") this.startNew(session, frame, now);
    else this.resume(session, frame, now);
  }

  private startNew(
    session: AgentSession,
    frame: DispatchFrame,
    now: number,
  ): void {
    const { attempt, sequence, call } = frame;
    const refusal = this.refusal(frame) ?? this.options.mayStart(call);
    if (refusal !== undefined) {
      this.refuse(session, attempt, refusal.error, refusal.retryAfterMs, now);
      return;
    }
    // The mark comes before the engine hears of the work: a close in between
    // has to list it.
    session.started.set(sequence, attempt);
    const forgets = this.options.without === "remember-starts";
    if (!call.repeatable && !forgets) this.startedOnce.add(attempt, now);
    this.counts.started += 1;
    this.runs.start(frame, session.connection);
  }

  private refusal({ attempt }: DispatchFrame) {
    const retryAfterMs = 0;
    if (this.withdrawn.has(attempt))
      return { error: 1406, retryAfterMs } as const;
    if (this.leaving === undefined) return undefined;
    if (this.options.without === "refuse-leaving") return undefined;
    return { error: 1402, retryAfterMs } as const;
  }

  /** Goes on with a run, also while leaving: it is no new work. */
  private resume(
    session: AgentSession,
    frame: DispatchFrame,
    now: number,
  ): void {
    const { connection } = session;
    const run = this.runs.find(frame.resumeOf);
    // A name alone opens no answer: it has to be the same account's.
    const isOwn = run === undefined || run.call.account === frame.call.account;
    const isHeld = run !== undefined && run.base <= frame.fromIndex;
    const canServe = isHeld || this.options.engineResumes;
    if (!isOwn || !canServe) {
      this.refuse(session, frame.attempt, 1405, 0, now);
      return;
    }
    session.started.set(frame.sequence, frame.attempt);
    this.counts.attached += 1;
    if (run !== undefined) this.unmarkProved(session, run.attempt);
    if (run === undefined) this.runs.seek(frame, connection);
    else this.runs.attach(run, frame, connection);
  }

  /** The entry resumes what a closed session had started: it has the proof. */
  private unmarkProved({ id }: AgentSession, attempt: string): void {
    for (const session of this.byKey.values()) {
      const isSame = session.id.entryIncarnation === id.entryIncarnation;
      if (isSame && session.isProved) unmark(session, attempt);
    }
  }

  private refuse(
    session: AgentSession,
    attempt: string,
    error: ErrorNumber,
    retryAfterMs: number,
    now: number,
  ): void {
    this.counts.refused += 1;
    const frame = { kind: "refused", attempt, error, retryAfterMs } as const;
    this.send(session, frame, now);
  }

  private settle(session: AgentSession, settledBelow: number): void {
    for (const attempt of settle(session, settledBelow)) {
      this.runs.settle(attempt);
    }
  }

  /** What had started in a session, whether its answer is still held or not. */
  private progress(session: AgentSession): AttemptProgress[] {
    const progress: AttemptProgress[] = [];
    for (const attempt of session.started.values()) {
      const run = this.runs.findReader(attempt);
      if (run === undefined && this.options.without === "started-marks")
        continue;
      const pieces = run?.count ?? 0;
      const ended = run !== undefined && isOver(run);
      progress.push({ attempt, pieces, ended });
    }
    return progress;
  }

  private send(session: AgentSession, frame: AgentFrame, now: number): void {
    session.sentAt = now;
    const { connection } = session;
    this.options.perform({ kind: "send", connection, frame });
  }

  /** Nothing starts in the session any more; its runs lose their reader. */
  private tombstone(session: AgentSession, now: number): void {
    if (!session.isLive) return;
    session.isLive = false;
    session.closedAt = now;
    this.runs.detach(session.connection, now);
  }

  private end(session: AgentSession, now: number): void {
    this.tombstone(session, now);
    const { connection } = session;
    this.options.perform({ kind: "disconnect", connection });
  }

  private tickSession(session: AgentSession, now: number): void {
    const { silentAfterMs, heartbeatMs, proofMs } = this.limits;
    if (!session.isLive) {
      if (now - session.closedAt > proofMs) this.forget(session);
      return;
    }
    if (now - session.heardAt > silentAfterMs) this.end(session, now);
    else if (now - session.sentAt >= heartbeatMs) {
      this.send(session, { kind: "heartbeat" }, now);
    }
  }

  private forget(session: AgentSession): void {
    const { entryIncarnation, number } = session.id;
    this.byKey.delete(sessionKey(entryIncarnation, number));
    // An entry dispatches only after the answer to its opening, so a number
    // that comes back now has no dispatches behind it.
    if (this.highestNumber.get(entryIncarnation) === number) {
      this.highestNumber.delete(entryIncarnation);
    }
    if (this.byConnection.get(session.connection) === session) {
      this.byConnection.delete(session.connection);
    }
  }

  /**
   * The agent can end once its engine is idle and no entry still reads. What
   * outlasts the grace goes on at the engine: the next agent of this backend
   * server finds it there when an entry resumes it.
   */
  private finishLeaving(now: number): void {
    if (this.leaving === undefined || this.drained) return;
    const isGraceOver = now >= this.leaving.until;
    if (!isGraceOver && (this.runs.running > 0 || this.isNeeded(now))) return;
    this.drained = true;
    const cutRuns = this.runs.running;
    this.options.emit(146, { runner: this.options.runner, cutRuns });
    this.options.perform({ kind: "drained", cutRuns });
  }

  /**
   * An entry still reads an answer, may have a dispatch under way, or may
   * still ask what had started in a session that broke. Ending before that
   * turns truthful "not run" answers into "unknown" ones.
   */
  private isNeeded(now: number): boolean {
    const { doubtMs, resumeMs } = this.limits;
    if (this.options.without === "leaving-seen") return false;
    for (const session of this.byKey.values()) {
      const { isLive, isProved, leavingSeen, started, closedAt } = session;
      if (isLive && (!leavingSeen || started.size > 0)) return true;
      const goneMs = now - closedAt;
      if (!isLive && !isProved && goneMs < doubtMs) return true;
      if (!isLive && started.size > 0 && goneMs < resumeMs) return true;
    }
    return false;
  }

  private checkDispatches(): DispatchFigures {
    const { received, started, attached, refused, dropped } = this.counts;
    if (received !== started + attached + refused + dropped) {
      const detail = JSON.stringify(this.counts);
      this.options.emit(104, { rule: "dispatches", detail });
    }
    return { ...this.counts };
  }
}

function unmark(session: AgentSession, attempt: string): void {
  for (const [sequence, started] of session.started) {
    if (started === attempt) session.started.delete(sequence);
  }
}
