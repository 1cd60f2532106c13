/**
 * Holds a stream's bytes, and its end behind them, while its caller doesn't
 * read. The HTTP client isn't paused for that: a connection that ends while its
 * answer is paused fails an assertion of the client outside of any request
 * (undici 7.30.2, answers that aren't kept alive), and the whole process ends.
 */

export interface HeldStreamOptions {
  readonly onData: (chunk: Buffer) => void;
  /** Called once, after the last chunk. */
  readonly onEnd: () => void;
}

export class HeldStream {
  private readonly chunks: Buffer[] = [];
  private waiting = 0;
  private isPaused = false;
  private hasEnded = false;

  private constructor(private readonly options: HeldStreamOptions) {}

  static create(options: HeldStreamOptions): HeldStream {
    return new HeldStream(options);
  }

  /** Bytes that wait for the caller. */
  get bytes(): number {
    return this.waiting;
  }

  push(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.waiting += chunk.length;
    this.flush();
  }

  /** No more chunks follow. */
  end(): void {
    this.hasEnded = true;
    this.flush();
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    this.flush();
  }

  private flush(): void {
    while (!this.isPaused) {
      const chunk = this.chunks.shift();
      if (chunk === undefined) break;
      this.waiting -= chunk.length;
      this.options.onData(chunk);
    }
    if (this.isPaused || !this.hasEnded) return;
    this.hasEnded = false;
    this.options.onEnd();
  }
}
