/**
 * All runs of one agent: what the engine sends goes to the reader of the run
 * and is held, within a time and a size, for a reader that comes back.
 */
import type { ErrorNumber } from "../shared/errors.js";
import {
  createRun,
  dropPieces,
  holdPiece,
  isOver,
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

export class AgentRuns {
  private readonly byName = new Map<string, Run>();
  /** By the attempt that reads it now. */
  private readonly byAttempt = new Map<string, Run>();
  private heldBytes = 0;
  /** Runs that aren't over. */
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

  get held(): number {
    return this.byName.size - this.unfinished;
  }

  get bytes(): number {
    return this.heldBytes;
  }

  find(name: string): Run | undefined {
    return this.byName.get(name);
  }

  findReader(attempt: string): Run | undefined {
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

  /** Looks for the run of an earlier incarnation at the engine. */
  seek(frame: DispatchFrame, connection: number): void {
    const run = this.add(frame.resumeOf, frame.call, frame.attempt, connection);
    run.isFound = true;
    run.sendFrom = frame.fromIndex;
    this.askEngine(run, frame.deadlineMs);
  }

  /** Gives the run a new reader and sends it what is held for it. */
  attach(run: Run, frame: DispatchFrame, connection: number): void {
    // A caller repeated its call at another entry: the answer follows the
    // caller, and the first entry learns that it gets no more of it.
    if (run.connection !== undefined && run.connection !== connection) {
      this.send(run, { kind: "broken", attempt: run.attempt, error: 1218 });
    }
    this.byAttempt.delete(run.attempt);
    this.byAttempt.set(frame.attempt, run);
    run.attempt = frame.attempt;
    run.connection = connection;
    run.detachedAt = Number.POSITIVE_INFINITY;
    run.sendFrom = frame.fromIndex;
    if (run.status === "starting") return;
    this.send(run, { kind: "started", attempt: run.attempt });
    if (run.base > frame.fromIndex) {
      if (isOver(run)) this.unfinished += 1;
      restartAnswer(run);
      this.askEngine(run, frame.deadlineMs);
      return;
    }
    this.sendHeld(run, frame.fromIndex);
  }

  /** Nobody reads the runs of this connection any more. */
  detach(connection: number, now: number): void {
    for (const run of this.byName.values()) {
      if (run.connection !== connection) continue;
      run.connection = undefined;
      run.detachedAt = now;
    }
  }

  /** Ends a repeatable run that nobody wants; true if there was one. */
  cancel(attempt: string): boolean {
    const run = this.byAttempt.get(attempt);
    if (run?.call.repeatable !== true) return false;
    if (!isOver(run)) this.perform({ kind: "cancel-run", run: run.name });
    this.remove(run);
    return true;
  }

  /** The entry needs nothing more of this attempt. */
  settle(attempt: string): void {
    const run = this.byAttempt.get(attempt);
    if (run === undefined || !isOver(run) || !run.call.repeatable) return;
    this.remove(run);
  }

  accepted(name: string, stream: number): void {
    const run = this.current(name, stream);
    if (run !== undefined) this.noteStart(run);
  }

  head(
    name: string,
    stream: number,
    status: number,
    headers: readonly Header[],
    isEndMarked: boolean,
  ): void {
    const run = this.current(name, stream);
    if (run === undefined) return;
    this.noteStart(run);
    run.head = { status, headers, isEndMarked };
    const { attempt } = run;
    this.send(run, { kind: "head", attempt, ...run.head });
  }

  piece(name: string, stream: number, data: Uint8Array): void {
    const run = this.current(name, stream);
    if (run === undefined) return;
    this.noteStart(run);
    const index = run.count;
    this.heldBytes += holdPiece(run, data, this.limits.holdRunBytes);
    if (index >= run.sendFrom) {
      this.send(run, { kind: "piece", attempt: run.attempt, index, data });
    }
    if (this.heldBytes > this.limits.holdTotalBytes) this.freeMemory();
  }

  end(name: string, stream: number, now: number): void {
    const run = this.current(name, stream);
    if (run === undefined) return;
    this.noteStart(run);
    run.status = "ended";
    run.endedAt = now;
    this.unfinished -= 1;
    this.sendEnd(run);
  }

  /** The engine failed after the start, or can't tell whether it started. */
  failed(name: string, stream: number, error: ErrorNumber, now: number): void {
    const run = this.current(name, stream);
    if (run === undefined) return;
    run.status = "failed";
    run.endedAt = now;
    run.error = error;
    this.unfinished -= 1;
    this.send(run, { kind: "broken", attempt: run.attempt, error });
  }

  /**
   * The engine never got the work, or knows no run of this name. Returns the
   * attempt that was refused by it.
   */
  notStarted(
    name: string,
    stream: number,
    error: ErrorNumber,
    retryAfterMs: number,
  ): string | undefined {
    const run = this.current(name, stream);
    if (run === undefined) return undefined;
    const { attempt } = run;
    const told = run.isFound ? 1405 : error;
    this.send(run, { kind: "refused", attempt, error: told, retryAfterMs });
    this.remove(run);
    return attempt;
  }

  /** Ends what nobody came back for in time. */
  tick(now: number): void {
    const { holdMs } = this.limits;
    for (const run of this.byName.values()) {
      if (isOver(run)) {
        if (now - run.endedAt > holdMs) this.remove(run);
      } else if (run.call.repeatable && now - run.detachedAt > holdMs) {
        this.perform({ kind: "cancel-run", run: run.name });
        this.remove(run);
      }
    }
  }

  private add(
    name: string,
    call: Call,
    attempt: string,
    connection: number,
  ): Run {
    const run = createRun(name, call, attempt, connection);
    this.byName.set(name, run);
    this.byAttempt.set(attempt, run);
    this.unfinished += 1;
    return run;
  }

  private remove(run: Run): void {
    if (!isOver(run)) this.unfinished -= 1;
    this.heldBytes -= dropPieces(run);
    this.byName.delete(run.name);
    this.byAttempt.delete(run.attempt);
  }

  private askEngine(run: Run, deadlineMs: number): void {
    this.heldBytes -= dropPieces(run);
    run.base = 0;
    const { name, stream, call } = run;
    this.perform({ kind: "resume-run", run: name, stream, call, deadlineMs });
  }

  private current(name: string, stream: number): Run | undefined {
    const run = this.byName.get(name);
    if (run?.stream !== stream || isOver(run)) return undefined;
    return run;
  }

  private noteStart(run: Run): void {
    if (run.status !== "starting") return;
    run.status = "running";
    this.send(run, { kind: "started", attempt: run.attempt });
  }

  private send(run: Run, frame: AgentFrame): void {
    const { connection } = run;
    if (connection === undefined) return;
    this.perform({ kind: "send", connection, frame });
  }

  private sendHeld(run: Run, fromIndex: number): void {
    const { attempt, head } = run;
    const base = this.without === "resume-index" ? fromIndex : run.base;
    if (head !== undefined) this.send(run, { kind: "head", attempt, ...head });
    for (let index = fromIndex; index < run.count; index += 1) {
      const data = run.pieces[index - base];
      this.send(run, { kind: "piece", attempt, index, data });
    }
    if (run.status === "ended") this.sendEnd(run);
    if (run.status === "failed") {
      this.send(run, { kind: "broken", attempt, error: run.error });
    }
  }

  private sendEnd(run: Run): void {
    const { attempt, count, checksum } = run;
    // The head of the answer that came to its end, not of one before it.
    const isVouched = run.head?.isEndMarked ?? false;
    this.send(run, { kind: "end", attempt, count, checksum, isVouched });
  }

  /**
   * Load: many long answers with readers that are gone. Answers that are over
   * go first, oldest first, the repeatable ones before the others: a
   * repeatable one can be made again, the engine can send either again. The
   * marks of the sessions stay, so no proof becomes false.
   */
  private freeMemory(): void {
    const target = this.limits.holdTotalBytes / 2;
    for (const repeatable of [true, false]) {
      for (const run of this.byName.values()) {
        if (this.heldBytes <= target) return;
        if (isOver(run) && run.call.repeatable === repeatable) {
          this.heldBytes -= dropPieces(run);
        }
      }
    }
    for (const run of this.byName.values()) {
      if (this.heldBytes <= target) return;
      this.heldBytes -= dropPieces(run);
    }
  }
}
