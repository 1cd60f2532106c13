/**
 * Lines to standard output that never hold the process up. Node writes to a
 * pipe synchronously: a reader that stalls would stop every request. So lines
 * are gathered and written from another thread, one write at a time; while a
 * reader stalls the newest lines are dropped and counted, and the count is
 * told when it reads again.
 */
import { write } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";

/** Writes bytes to the end; the callback's argument is the failure, if any. */
export type WriteOut = (
  bytes: Buffer,
  done: (error: Error | null) => void,
) => void;

export interface BoundedOutputOptions {
  readonly writeOut: WriteOut;
  /** Told once the reader reads again. */
  readonly onDropped: (lines: number) => void;
}

/** Lines of some seconds of a busy entry; memory that a stalled reader costs. */
export const HELD_BYTES = 512 * 1024;
/** Lines are gathered for this time, ms: one write for all of them. */
const GATHER_MS = 50;

/** Longest wait for the last lines when the process ends, ms. */
const CLOSE_MS = 200;
const CLOSE_LOOK_MS = 5;

const STANDARD_OUTPUT = 1;

export class BoundedOutput {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: BoundedOutputOptions) {}

  static create(options: BoundedOutputOptions): BoundedOutput {
    return new BoundedOutput(options);
  }

  /** Takes one line with its end. */
  write(line: string): void {
    if (this.waitingBytes + line.length > HELD_BYTES) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, GATHER_MS);
  }

  /** Writes what is held, unless a write is under way. */
  flush(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    const bytes = Buffer.from(this.waiting.join(""));
    this.waiting = [];
    this.waitingBytes = 0;
    this.isWriting = true;
    this.options.writeOut(bytes, () => {
      // A reader that is gone can't be told; the lines go as dropped ones do.
      this.isWriting = false;
      this.tellDropped();
      this.flush();
    });
  }

  /** Waits until all is written, or for as long as a stalled reader gets. */
  async close(): Promise<void> {
    const deadlineMs = performance.now() + CLOSE_MS;
    clearTimeout(this.timer);
    this.flush();
    while (this.isWriting && performance.now() < deadlineMs) {
      await sleep(CLOSE_LOOK_MS);
    }
  }

  private tellDropped(): void {
    const { dropped } = this;
    if (dropped === 0) return;
    this.dropped = 0;
    this.options.onDropped(dropped);
  }
}

/** Writes to standard output from the thread pool. */
export const writeStandardOutput: WriteOut = (bytes, done) => {
  write(STANDARD_OUTPUT, bytes, (error, written) => {
    if (error?.code === "EAGAIN") {
      setTimeout(() => {
        writeStandardOutput(bytes, done);
      }, GATHER_MS);
      return;
    }
    if (error !== null || written >= bytes.length) {
      done(error);
      return;
    }
    writeStandardOutput(bytes.subarray(written), done);
  });
};
