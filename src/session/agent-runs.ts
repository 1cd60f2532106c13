/**
 * All runs of one agent. Engine output is sent to the attempt that reads the
 * run, and is buffered within time and size limits for a later resumption.
 */
import type { ErrorNumber } from "../shared/errors.js";
import {
  createRun,
  bufferPiece,
  dropBufferedPieces,
  isFinished,
  restartAnswer,
  type Run,
} from "./agent-run.js";
import type { AgentEffect } from "./agent-types.js";
import type { SessionLimits } from "./limits.js";
import type {
  AgentFrame,
  Call,
  DispatchFrame,
  Header,
  Safeguard,
} from "./types.js";
import { withoutBody } from "./without-body.js";

export class AgentRuns {
  private readonly byId = new Map<string, Run>();
  /** By the attempt that currently receives the answer. */
  private readonly byAttempt = new Map<string, Run>();
  private totalBufferedBytes = 0;
  /** Number of unfinished runs. */
  private unfinished = 0;

  private constructor(
    private readonly perform: (effect: AgentEffect) => void,
    private readonly limits: SessionLimits,
    private readonly without: Safeguard | undefined,
  ) {}

  static create(
    perform: (effect: AgentEffect) => void,
    limits: SessionLimits,
    without?: Safeguard,
  ): AgentRuns {
    return new AgentRuns(perform, limits, without);
  }

  get running(): number {
    return this.unfinished;
  }

  get finishedCount(): number {
    return this.byId.size - this.unfinished;
  }

  get bufferedBytes(): number {
    return this.totalBufferedBytes;
  }

  find(id: string): Run | undefined {
    return this.byId.get(id);
  }

  findByAttempt(attempt: string): Run | undefined {
    return this.byAttempt.get(attempt);
  }

  start(frame: DispatchFrame, connection: number): void {
    const { attempt, call, deadlineMs } = frame;
    const run = this.add(attempt, call, attempt, connection);
    const { stream } = run;
    this.perform({
      kind: "start-run",
      run: attempt,
      stream,
      call,
      deadlineMs,
    });
  }

  /** Resumes at the engine a run that an earlier incarnation started. */
  recover(frame: DispatchFrame, connection: number): void {
    const run = this.add(frame.resumeOf, frame.call, frame.attempt, connection);
    run.isRecovered = true;
    run.sendFromIndex = frame.fromIndex;
    this.requestResume(run, frame.deadlineMs);
  }

  /** Attaches a new reader to the run and sends it the buffered pieces. */
  attach(run: Run, frame: DispatchFrame, connection: number): void {
    // The caller repeated its request at another entry. The answer moves there,
    // and the first entry is notified that it gets no more of it.
    if (run.connection !== undefined && run.connection !== connection) {
      this.send(run, { kind: "broken", attempt: run.attempt, error: 1218 });
    }
    this.byAttempt.delete(run.attempt);
    this.byAttempt.set(frame.attempt, run);
    run.attempt = frame.attempt;
    run.connection = connection;
    run.detachedAt = Number.POSITIVE_INFINITY;
    run.sendFromIndex = frame.fromIndex;
    if (run.status === "starting") return;
    this.send(run, { kind: "started", attempt: run.attempt });
    if (run.firstBufferedIndex > frame.fromIndex) {
      if (isFinished(run)) this.unfinished += 1;
      restartAnswer(run);
      this.requestResume(run, frame.deadlineMs);
      return;
    }
    this.sendBuffered(run, frame.fromIndex);
  }

  /** Marks the runs of a closed connection as having no reader. */
  detach(connection: number, now: number): void {
    for (const run of this.byId.values()) {
      if (run.connection !== connection) continue;
      run.connection = undefined;
      run.detachedAt = now;
    }
  }

  /** Cancels a repeatable run; false if there is none for the attempt. */
  cancel(attempt: string): boolean {
    const run = this.byAttempt.get(attempt);
    if (run?.call.repeatable !== true) return false;
    if (!isFinished(run)) this.perform({ kind: "cancel-run", run: run.id });
    this.remove(run);
    return true;
  }

  /** Removes the finished run of an attempt that the entry has settled. */
  settle(attempt: string): void {
    const run = this.byAttempt.get(attempt);
    if (run === undefined || !isFinished(run) || !run.call.repeatable) return;
    this.remove(run);
  }

  accepted(id: string, stream: number): void {
    const run = this.findCurrent(id, stream);
    if (run !== undefined) this.markStarted(run);
  }

  head(
    id: string,
    stream: number,
    status: number,
    headers: readonly Header[],
    isEndMarked: boolean,
  ): void {
    const run = this.findCurrent(id, stream);
    if (run === undefined) return;
    this.markStarted(run);
    run.head = { status, headers, isEndMarked };
    const { attempt } = run;
    this.send(run, { kind: "head", attempt, ...run.head });
  }

  piece(id: string, stream: number, data: Uint8Array): void {
    const run = this.findCurrent(id, stream);
    if (run === undefined) return;
    this.markStarted(run);
    const index = run.pieceCount;
    this.totalBufferedBytes += bufferPiece(
      run,
      data,
      this.limits.runBufferBytes,
    );
    if (index >= run.sendFromIndex) {
      this.send(run, { kind: "piece", attempt: run.attempt, index, data });
    }
    if (this.totalBufferedBytes > this.limits.totalBufferBytes)
      this.freeBuffers();
  }

  end(id: string, stream: number, now: number): void {
    const run = this.findCurrent(id, stream);
    if (run === undefined) return;
    this.markStarted(run);
    run.status = "ended";
    run.endedAt = now;
    this.unfinished -= 1;
    this.sendEnd(run);
  }

  /** The engine failed after the start, or it is unknown whether it started. */
  failed(id: string, stream: number, error: ErrorNumber, now: number): void {
    const run = this.findCurrent(id, stream);
    if (run === undefined) return;
    run.status = "failed";
    run.endedAt = now;
    run.error = error;
    this.unfinished -= 1;
    this.send(run, { kind: "broken", attempt: run.attempt, error });
  }

  /**
   * The engine never received the work, or knows no run with this ID. Returns
   * the attempt that was refused.
   */
  notStarted(
    id: string,
    stream: number,
    error: ErrorNumber,
    retryAfterMs: number,
  ): string | undefined {
    const run = this.findCurrent(id, stream);
    if (run === undefined) return undefined;
    const { attempt } = run;
    const reportedError = run.isRecovered ? 1405 : error;
    this.send(run, {
      kind: "refused",
      attempt,
      error: reportedError,
      retryAfterMs,
    });
    this.remove(run);
    return attempt;
  }

  /**
   * Removes finished runs, and cancels repeatable ones that no entry reads,
   * after the answer retention time.
   */
  tick(now: number): void {
    const { answerRetentionMs } = this.limits;
    for (const run of this.byId.values()) {
      if (isFinished(run)) {
        if (now - run.endedAt > answerRetentionMs) this.remove(run);
      } else if (
        run.call.repeatable &&
        now - run.detachedAt > answerRetentionMs
      ) {
        this.perform({ kind: "cancel-run", run: run.id });
        this.remove(run);
      }
    }
  }

  private add(
    id: string,
    call: Call,
    attempt: string,
    connection: number,
  ): Run {
    // Only the start needs the body; the run is kept beyond its end.
    const run = createRun(id, withoutBody(call), attempt, connection);
    this.byId.set(id, run);
    this.byAttempt.set(attempt, run);
    this.unfinished += 1;
    return run;
  }

  private remove(run: Run): void {
    if (!isFinished(run)) this.unfinished -= 1;
    this.totalBufferedBytes -= dropBufferedPieces(run);
    this.byId.delete(run.id);
    this.byAttempt.delete(run.attempt);
  }

  private requestResume(run: Run, deadlineMs: number): void {
    this.totalBufferedBytes -= dropBufferedPieces(run);
    run.firstBufferedIndex = 0;
    const { id, stream, call } = run;
    this.perform({ kind: "resume-run", run: id, stream, call, deadlineMs });
  }

  private findCurrent(id: string, stream: number): Run | undefined {
    const run = this.byId.get(id);
    if (run?.stream !== stream || isFinished(run)) return undefined;
    return run;
  }

  private markStarted(run: Run): void {
    if (run.status !== "starting") return;
    run.status = "running";
    this.send(run, { kind: "started", attempt: run.attempt });
  }

  private send(run: Run, frame: AgentFrame): void {
    const { connection } = run;
    if (connection === undefined) return;
    this.perform({ kind: "send", connection, frame });
  }

  private sendBuffered(run: Run, fromIndex: number): void {
    const { attempt, head } = run;
    const firstIndex =
      this.without === "resume-index" ? fromIndex : run.firstBufferedIndex;
    if (head !== undefined) this.send(run, { kind: "head", attempt, ...head });
    for (let index = fromIndex; index < run.pieceCount; index += 1) {
      const data = run.bufferedPieces[index - firstIndex];
      this.send(run, { kind: "piece", attempt, index, data });
    }
    if (run.status === "ended") this.sendEnd(run);
    if (run.status === "failed") {
      this.send(run, { kind: "broken", attempt, error: run.error });
    }
  }

  private sendEnd(run: Run): void {
    const { attempt, pieceCount: count, checksum } = run;
    // A resend replaces the head, so `run.head` belongs to the answer that
    // ended.
    const isEndMarked = run.head?.isEndMarked ?? false;
    this.send(run, {
      kind: "end",
      attempt,
      count,
      checksum,
      isEndMarked,
    });
  }

  /**
   * Drops buffered pieces when the total limit is exceeded, as when many long
   * answers have no reader. Finished answers go first, oldest first, and
   * repeatable ones before others: repeatable work can run again, and the
   * engine can resend the answers of both. The sessions keep their started
   * attempts, so replies to a close stay correct.
   */
  private freeBuffers(): void {
    const target = this.limits.totalBufferBytes / 2;
    for (const repeatable of [true, false]) {
      for (const run of this.byId.values()) {
        if (this.totalBufferedBytes <= target) return;
        if (isFinished(run) && run.call.repeatable === repeatable) {
          this.totalBufferedBytes -= dropBufferedPieces(run);
        }
      }
    }
    for (const run of this.byId.values()) {
      if (this.totalBufferedBytes <= target) return;
      this.totalBufferedBytes -= dropBufferedPieces(run);
    }
  }
}
