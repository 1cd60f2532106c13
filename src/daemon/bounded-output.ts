/**
 * Writes lines to standard output without blocking the process. Node writes to
 * a pipe synchronously, so a stalled reader would stop every request. Lines are
 * therefore buffered and written from another thread, one write at a time.
 * While a reader stalls, the newest lines are dropped and counted; the count is
 * reported once it reads again.
 */
import { write } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";

/** Writes all bytes; the callback receives the failure, if any. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null) => void,
) => void;

export interface BoundedOutputOptions {
  readonly writeOut: WriteBytes;
  /** Called once the reader reads again. */
  readonly onDropped: (lines: number) => void;
}

/** Memory limit while a reader stalls; some seconds of a busy entry's lines. */
export const MAXIMUM_BUFFERED_BYTES = 512 * 1024;
/** Lines are buffered for this long and share one write. */
const FLUSH_DELAY_MS = 50;

/** Longest wait for the last lines when the process ends. */
const CLOSE_TIMEOUT_MS = 200;
const CLOSE_POLL_INTERVAL_MS = 5;

const STANDARD_OUTPUT = 1;

export class BoundedOutput {
  private bufferedLines: string[] = [];
  private bufferedBytes = 0;
  private droppedLines = 0;
  private isWriting = false;
  private flushTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: BoundedOutputOptions) {}

  static create(options: BoundedOutputOptions): BoundedOutput {
    return new BoundedOutput(options);
  }

  /** Buffers one line, including its line break. */
  write(line: string): void {
    if (this.bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.bufferedLines.push(line);
    this.bufferedBytes += line.length;
    this.flushTimer ??= setTimeout(() => {
      this.flushTimer = undefined;
      this.flush();
    }, FLUSH_DELAY_MS);
  }

  /** Writes the buffered lines, unless a write is in progress. */
  flush(): void {
    if (this.isWriting || this.bufferedLines.length === 0) return;
    const bytes = Buffer.from(this.bufferedLines.join(""));
    this.bufferedLines = [];
    this.bufferedBytes = 0;
    this.isWriting = true;
    this.options.writeOut(bytes, () => {
      // The reader is gone, so a failure can't be reported: the lines are lost.
      this.isWriting = false;
      this.reportDropped();
      this.flush();
    });
  }

  /** Waits until all lines are written, at most `CLOSE_TIMEOUT_MS`. */
  async close(): Promise<void> {
    const deadlineMs = performance.now() + CLOSE_TIMEOUT_MS;
    clearTimeout(this.flushTimer);
    this.flush();
    while (this.isWriting && performance.now() < deadlineMs) {
      await sleep(CLOSE_POLL_INTERVAL_MS);
    }
  }

  private reportDropped(): void {
    const { droppedLines } = this;
    if (droppedLines === 0) return;
    this.droppedLines = 0;
    this.options.onDropped(droppedLines);
  }
}

/** Writes to standard output from the thread pool. */
export const writeStandardOutput: WriteBytes = (bytes, done) => {
  write(STANDARD_OUTPUT, bytes, (error, written) => {
    if (error?.code === "EAGAIN") {
      setTimeout(() => {
        writeStandardOutput(bytes, done);
      }, FLUSH_DELAY_MS);
      return;
    }
    if (error !== null || written >= bytes.length) {
      done(error);
      return;
    }
    writeStandardOutput(bytes.subarray(written), done);
  });
};
