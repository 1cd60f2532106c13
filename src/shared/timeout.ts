/**
 * A timeout of a call, joined with a signal that may end it sooner.
 *
 * `AbortSignal.any` holds its sources weakly, and so does the timer of
 * `AbortSignal.timeout`. Once the calling code is optimized nothing else holds
 * the timeout, it is collected as garbage, and a call on a connection that fell
 * silent lasts for good. Here the timer holds the controller.
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

  /** Disposed of when the call has ended. */
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

/** What `AbortSignal.timeout` gives as its reason. */
function timeoutError(): DOMException {
  const text = "The operation was aborted due to timeout";
  return new DOMException(text, "TimeoutError");
}
