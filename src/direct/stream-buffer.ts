/**
 * Buffers the chunks and the end of a stream while its caller doesn't read. The
 * HTTP client itself isn't paused: if a connection ends while its response is
 * paused, an assertion of the client fails outside of any request and ends the
 * process (undici 7.30.2, responses without keep-alive).
 */

export interface StreamBufferOptions {
  readonly onData: (chunk: Buffer) => void;
  /** Called once, after the last chunk. */
  readonly onEnd: () => void;
}

export class StreamBuffer {
  private readonly chunks: Buffer[] = [];
  private bufferedSize = 0;
  private isPaused = false;
  private hasEnded = false;

  private constructor(private readonly options: StreamBufferOptions) {}

  static create(options: StreamBufferOptions): StreamBuffer {
    return new StreamBuffer(options);
  }

  /** Number of buffered bytes. */
  get bufferedBytes(): number {
    return this.bufferedSize;
  }

  push(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.bufferedSize += chunk.length;
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
      this.bufferedSize -= chunk.length;
      this.options.onData(chunk);
    }
    if (this.isPaused || !this.hasEnded) return;
    this.hasEnded = false;
    this.options.onEnd();
  }
}
