/**
 * Batches the frames of one event loop turn into one message, so that many
 * short token frames share one gRPC write.
 */

export class FrameWriter<Frame> {
  private pending: Frame[] = [];
  private closed = false;

  private constructor(
    private readonly write: (frames: readonly Frame[]) => void,
  ) {}

  static create<Frame>(
    write: (frames: readonly Frame[]) => void,
  ): FrameWriter<Frame> {
    return new FrameWriter(write);
  }

  push(frame: Frame): void {
    if (this.closed) return;
    this.pending.push(frame);
    if (this.pending.length === 1) {
      setImmediate(() => {
        this.flush();
      });
    }
  }

  flush(): void {
    if (this.closed || this.pending.length === 0) return;
    const frames = this.pending;
    this.pending = [];
    this.write(frames);
  }

  /** Discards pending frames and ignores frames pushed later. */
  close(): void {
    this.closed = true;
    this.pending = [];
  }
}
