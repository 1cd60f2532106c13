/**
 * The agent's side of all sessions. It decides whether an attempt starts: at
 * most once, and only in a live session of this incarnation. What it has
 * reported about an attempt never becomes false later.
 */
import type { ErrorNumber } from "../shared/errors.js";
import { AgentRuns } from "./agent-runs.js";
import { AttemptMemory } from "./attempt-memory.js";
import {
  type AgentSession,
  createAgentSession,
  forgetSettled,
  sessionKey,
} from "./agent-session.js";
import { isFinished } from "./agent-run.js";
import type {
  AgentGateOptions,
  AgentStatus,
  AttemptState,
  DispatchCounts,
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
  private readonly sessionsByKey = new Map<string, AgentSession>();
  private readonly sessionsByConnection = new Map<number, AgentSession>();
  /** Highest session number opened, by entry incarnation. */
  private readonly highestSessionNumber = new Map<string, number>();
  private readonly withdrawn: AttemptMemory;
  private readonly startedNonRepeatable: AttemptMemory;
  private readonly runs: AgentRuns;
  private readonly drops: DropCounter;
  private readonly dispatchCounts = {
    received: 0,
    started: 0,
    attached: 0,
    refused: 0,
    dropped: 0,
  };
  private leaving:
    { readonly graceMs: number; readonly until: number } | undefined;
  private drained = false;
  private lastTickAt: number | undefined;

  private constructor(
    private readonly options: AgentGateOptions,
    private readonly limits: SessionLimits,
  ) {
    const { perform, without } = options;
    const { attemptRetentionMs, maximumRememberedAttempts } = limits;
    this.runs = AgentRuns.create(perform, limits, without);
    this.withdrawn = AttemptMemory.create(
      attemptRetentionMs,
      maximumRememberedAttempts,
    );
    this.startedNonRepeatable = AttemptMemory.create(
      attemptRetentionMs,
      maximumRememberedAttempts,
    );
    this.drops = DropCounter.create(options.emit);
  }

  static create(options: AgentGateOptions): AgentGate {
    return new AgentGate(options, options.limits ?? SESSION_LIMITS);
  }

  /** Handles a frame; the daemon numbers the connections. */
  receive(connection: number, frame: EntryFrame, now: number): void {
    if (frame.kind === "open") {
      this.openSession(connection, frame, now);
      return;
    }
    const session = this.sessionsByConnection.get(connection);
    if (session?.isLive !== true) {
      this.drops.count("", "session-not-live");
      if (frame.kind === "dispatch") this.dispatchCounts.received += 1;
      if (frame.kind === "dispatch") this.dispatchCounts.dropped += 1;
      return;
    }
    session.lastReceivedAt = now;
    switch (frame.kind) {
      case "dispatch":
        this.handleDispatch(session, frame, now);
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

  /** Closes the session of a failed or closed connection. */
  connectionLost(connection: number, now: number): void {
    const session = this.sessionsByConnection.get(connection);
    if (session !== undefined) this.tombstone(session, now);
    this.sessionsByConnection.delete(connection);
  }

  /**
   * Closes a session and lists the attempts that started in it. The session
   * is marked closed before the list is made, so that nothing can start in
   * between. `closed` is false for a session unknown to this incarnation.
   */
  close(id: SessionId, now: number): CloseReply {
    const { incarnation: agentIncarnation, without } = this.options;
    const unknownReply = { closed: false, agentIncarnation, started: [] };
    if (id.agentIncarnation !== agentIncarnation) {
      if (without !== "agent-incarnation") return unknownReply;
      return { ...unknownReply, closed: true };
    }
    const key = sessionKey(id.entryIncarnation, id.number);
    const session = this.sessionsByKey.get(key);
    if (session === undefined) return unknownReply;
    if (without !== "tombstone") this.tombstone(session, now);
    session.isCloseConfirmed = true;
    return {
      closed: true,
      agentIncarnation,
      started: this.listStarted(session),
    };
  }

  /**
   * State of an attempt that was sent to the given incarnation of this agent,
   * for an entry that repeats its request.
   */
  find(attempt: string, agentIncarnation: string): AttemptState {
    const run = this.runs.find(attempt);
    if (run !== undefined) return isFinished(run) ? "ended" : "running";
    if (this.startedNonRepeatable.has(attempt)) return "gone";
    if (agentIncarnation !== this.options.incarnation) return "lost";
    return this.withdrawn.has(attempt) ? "withdrawn" : "unknown";
  }

  /**
   * Guarantees that an attempt of work that may run at most once never starts
   * here. Returns false if it may have started: it did, an older incarnation
   * was meant to run it, or the record of a start may have been evicted.
   * Returns false too when no more withdrawals can be kept, because evicting
   * one would let a late dispatch start after its withdrawal was promised.
   */
  withdraw(attempt: string, agentIncarnation: string, now: number): boolean {
    if (agentIncarnation !== this.options.incarnation) return false;
    if (this.withdrawn.has(attempt)) return true;
    if (this.runs.find(attempt) !== undefined) return false;
    if (this.startedNonRepeatable.has(attempt)) return false;
    if (!this.startedNonRepeatable.isComplete(now) || this.withdrawn.isFull)
      return false;
    this.withdrawn.add(attempt, now);
    return true;
  }

  /** Refuses new work from now on and notifies every entry. */
  leave(graceMs: number, now: number): void {
    if (this.leaving !== undefined) return;
    this.leaving = { graceMs, until: now + graceMs };
    for (const session of this.sessionsByKey.values()) {
      if (session.isLive) this.send(session, { kind: "leaving", graceMs }, now);
    }
  }

  /** Sends the engine's load to every entry. */
  report(report: LoadReport, now: number): void {
    for (const session of this.sessionsByKey.values()) {
      if (session.isLive) this.send(session, { kind: "load", report }, now);
    }
  }

  /** The engine has accepted the work. */
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

  /** The engine provably never received the work. */
  runNotStarted(
    run: string,
    stream: number,
    error: ErrorNumber,
    retryAfterMs: number,
  ): void {
    const attempt = this.runs.notStarted(run, stream, error, retryAfterMs);
    if (attempt === undefined) return;
    for (const session of this.sessionsByKey.values())
      removeStarted(session, attempt);
  }

  tick(now: number): void {
    const pauseMs = now - (this.lastTickAt ?? now);
    this.lastTickAt = now;
    const wasPaused = pauseMs >= this.limits.silenceTimeoutMs;
    for (const session of this.sessionsByKey.values()) {
      if (wasPaused) session.lastReceivedAt = now;
      this.tickSession(session, now);
    }
    this.runs.tick(now);
    this.withdrawn.tick(now);
    this.startedNonRepeatable.tick(now);
    this.completeDrain(now);
    this.checkDispatches();
  }

  /** Number of unfinished runs. */
  get running(): number {
    return this.runs.running;
  }

  status(): AgentStatus {
    const live = [...this.sessionsByKey.values()].filter(
      ({ isLive }) => isLive,
    );
    return {
      incarnation: this.options.incarnation,
      leaving: this.leaving !== undefined,
      sessions: live.length,
      running: this.runs.running,
      held: this.runs.finishedCount,
      heldBytes: this.runs.bufferedBytes,
      withdrawn: this.withdrawn.size,
      dispatches: this.checkDispatches(),
    };
  }

  /**
   * Accepts each session number once. A delayed opening of a session that was
   * closed meanwhile, or of an older one, would admit late dispatches.
   */
  private openSession(connection: number, frame: OpenFrame, now: number): void {
    const { entry, entryIncarnation, number } = frame;
    const highest = this.highestSessionNumber.get(entryIncarnation) ?? 0;
    if (this.sessionsByConnection.has(connection) || number <= highest) {
      const reason = "number used before";
      this.options.emit(147, { entry, session: number, reason });
      if (!this.sessionsByConnection.has(connection)) {
        this.options.perform({ kind: "disconnect", connection });
      }
      return;
    }
    this.highestSessionNumber.set(entryIncarnation, number);
    for (const session of this.sessionsByKey.values()) {
      if (session.id.entryIncarnation !== entryIncarnation) continue;
      if (session.isLive) this.endSession(session, now);
    }
    const { incarnation: agentIncarnation, runner, group } = this.options;
    const id = { entry, entryIncarnation, agentIncarnation, number };
    const session = createAgentSession(id, connection, now);
    this.sessionsByKey.set(sessionKey(entryIncarnation, number), session);
    this.sessionsByConnection.set(connection, session);
    this.send(session, { kind: "opened", session: id, runner, group }, now);
    if (this.leaving === undefined) return;
    const { graceMs } = this.leaving;
    this.send(session, { kind: "leaving", graceMs }, now);
  }

  private handleDispatch(
    session: AgentSession,
    frame: DispatchFrame,
    now: number,
  ): void {
    this.dispatchCounts.received += 1;
    const { sequence, attempt, resumeOf } = frame;
    // A duplicate dispatch would start its work twice. Sequences only rise, so
    // the last one is enough to detect any duplicate of the session.
    const isDuplicate = sequence <= session.lastSequence;
    if (isDuplicate && this.options.without !== "dispatch-once") {
      this.dispatchCounts.dropped += 1;
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
    const refusal = this.findRefusal(frame) ?? this.options.mayStart(call);
    if (refusal !== undefined) {
      this.refuse(session, attempt, refusal.error, refusal.retryAfterMs, now);
      return;
    }
    // Recorded before the work is sent to the engine, so that a close in
    // between lists it.
    session.started.set(sequence, attempt);
    const skipsMemory = this.options.without === "remember-starts";
    if (!call.repeatable && !skipsMemory)
      this.startedNonRepeatable.add(attempt, now);
    this.dispatchCounts.started += 1;
    this.runs.start(frame, session.connection);
  }

  private findRefusal({ attempt }: DispatchFrame) {
    const retryAfterMs = 0;
    if (this.withdrawn.has(attempt))
      return { error: 1406, retryAfterMs } as const;
    if (this.leaving === undefined) return undefined;
    if (this.options.without === "refuse-leaving") return undefined;
    return { error: 1402, retryAfterMs } as const;
  }

  /** Resumes a run, even while leaving, because it isn't new work. */
  private resume(
    session: AgentSession,
    frame: DispatchFrame,
    now: number,
  ): void {
    const { connection } = session;
    const run = this.runs.find(frame.resumeOf);
    // Knowing a run's ID isn't enough: it must belong to the same account.
    const isSameAccount =
      run === undefined || run.call.account === frame.call.account;
    const isBuffered =
      run !== undefined && run.firstBufferedIndex <= frame.fromIndex;
    const canServe = isBuffered || this.options.engineResumes;
    if (!isSameAccount || !canServe) {
      this.refuse(session, frame.attempt, 1405, 0, now);
      return;
    }
    session.started.set(frame.sequence, frame.attempt);
    this.dispatchCounts.attached += 1;
    if (run !== undefined) this.removeConfirmedStarted(session, run.attempt);
    if (run === undefined) this.runs.recover(frame, connection);
    else this.runs.attach(run, frame, connection);
  }

  /** The resuming entry no longer needs the attempt in its closed sessions. */
  private removeConfirmedStarted({ id }: AgentSession, attempt: string): void {
    for (const session of this.sessionsByKey.values()) {
      const isSameEntry = session.id.entryIncarnation === id.entryIncarnation;
      if (isSameEntry && session.isCloseConfirmed)
        removeStarted(session, attempt);
    }
  }

  private refuse(
    session: AgentSession,
    attempt: string,
    error: ErrorNumber,
    retryAfterMs: number,
    now: number,
  ): void {
    this.dispatchCounts.refused += 1;
    const frame = { kind: "refused", attempt, error, retryAfterMs } as const;
    this.send(session, frame, now);
  }

  private settle(session: AgentSession, settledBelow: number): void {
    for (const attempt of forgetSettled(session, settledBelow)) {
      this.runs.settle(attempt);
    }
  }

  /** Attempts that started in a session, even if their runs were removed. */
  private listStarted(session: AgentSession): AttemptProgress[] {
    const progress: AttemptProgress[] = [];
    for (const attempt of session.started.values()) {
      const run = this.runs.findByAttempt(attempt);
      if (run === undefined && this.options.without === "started-marks")
        continue;
      const pieces = run?.pieceCount ?? 0;
      const ended = run !== undefined && isFinished(run);
      progress.push({ attempt, pieces, ended });
    }
    return progress;
  }

  private send(session: AgentSession, frame: AgentFrame, now: number): void {
    session.lastSentAt = now;
    const { connection } = session;
    this.options.perform({ kind: "send", connection, frame });
  }

  /** Marks the session as closed and detaches its runs. */
  private tombstone(session: AgentSession, now: number): void {
    if (!session.isLive) return;
    session.isLive = false;
    session.closedAt = now;
    this.runs.detach(session.connection, now);
  }

  private endSession(session: AgentSession, now: number): void {
    this.tombstone(session, now);
    const { connection } = session;
    this.options.perform({ kind: "disconnect", connection });
  }

  private tickSession(session: AgentSession, now: number): void {
    const { silenceTimeoutMs, heartbeatMs, closedSessionRetentionMs } =
      this.limits;
    if (!session.isLive) {
      if (now - session.closedAt > closedSessionRetentionMs)
        this.forgetSession(session);
      return;
    }
    if (now - session.lastReceivedAt > silenceTimeoutMs)
      this.endSession(session, now);
    else if (now - session.lastSentAt >= heartbeatMs) {
      this.send(session, { kind: "heartbeat" }, now);
    }
  }

  private forgetSession(session: AgentSession): void {
    const { entryIncarnation, number } = session.id;
    this.sessionsByKey.delete(sessionKey(entryIncarnation, number));
    // An entry dispatches only after its opening was answered, so a late
    // opening with this number can't be followed by old dispatches.
    if (this.highestSessionNumber.get(entryIncarnation) === number) {
      this.highestSessionNumber.delete(entryIncarnation);
    }
    if (this.sessionsByConnection.get(session.connection) === session) {
      this.sessionsByConnection.delete(session.connection);
    }
  }

  /**
   * The agent has drained once the engine is idle and no entry depends on it.
   * Runs that outlast the grace period continue at the engine, where the next
   * agent of this backend server can resume them.
   */
  private completeDrain(now: number): void {
    if (this.leaving === undefined || this.drained) return;
    const isGraceOver = now >= this.leaving.until;
    if (!isGraceOver && (this.runs.running > 0 || this.isStillNeeded(now)))
      return;
    this.drained = true;
    const cutRuns = this.runs.running;
    this.options.emit(146, { runner: this.options.runner, cutRuns });
    this.options.perform({ kind: "drained", cutRuns });
  }

  /**
   * An entry still reads an answer, may have a dispatch in flight, or may
   * still ask which attempts started in a lost session. If the agent exited
   * before that, outcomes that could be "not-run" would become "unknown".
   */
  private isStillNeeded(now: number): boolean {
    const { closeTimeoutMs, resumeTimeoutMs } = this.limits;
    if (this.options.without === "leaving-seen") return false;
    for (const session of this.sessionsByKey.values()) {
      const { isLive, isCloseConfirmed, leavingSeen, started, closedAt } =
        session;
      if (isLive && (!leavingSeen || started.size > 0)) return true;
      const closedForMs = now - closedAt;
      if (!isLive && !isCloseConfirmed && closedForMs < closeTimeoutMs)
        return true;
      if (!isLive && started.size > 0 && closedForMs < resumeTimeoutMs)
        return true;
    }
    return false;
  }

  private checkDispatches(): DispatchCounts {
    const { received, started, attached, refused, dropped } =
      this.dispatchCounts;
    if (received !== started + attached + refused + dropped) {
      const detail = JSON.stringify(this.dispatchCounts);
      this.options.emit(104, { rule: "dispatches", detail });
    }
    return { ...this.dispatchCounts };
  }
}

function removeStarted(session: AgentSession, attempt: string): void {
  for (const [sequence, started] of session.started) {
    if (started === attempt) session.started.delete(sequence);
  }
}
