/**
 * Timeout of a call, combined with a signal that may abort it earlier.
 *
 * `AbortSignal.any` references its sources weakly, and so does the timer of
 * `AbortSignal.timeout`. In optimized code nothing else references the timeout:
 * it is garbage collected, and a call on a dead connection never ends. Here the
 * timer references the controller.
 */
export class Timeout implements Disposable {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;

  private constructor(
    durationMs: number,
    private readonly outer: AbortSignal | undefined,
  ) {
    this.timer = setTimeout(() => {
      this.controller.abort(timeoutError());
    }, durationMs);
    outer?.addEventListener("abort", this.onOuterAbort);
    if (outer?.aborted === true) this.onOuterAbort();
  }

  /** Must be disposed of when the call has ended. */
  static create(durationMs: number, outer?: AbortSignal): Timeout {
    return new Timeout(durationMs, outer);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    this.outer?.removeEventListener("abort", this.onOuterAbort);
  }

  private readonly onOuterAbort = (): void => {
    this.controller.abort(this.outer?.reason);
  };
}

/** Same reason as that of `AbortSignal.timeout`. */
function timeoutError(): DOMException {
  const text = "The operation was aborted due to timeout";
  return new DOMException(text, "TimeoutError");
}
