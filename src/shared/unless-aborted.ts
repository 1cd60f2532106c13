/**
 * Waits for the work, or rejects with the signal's reason. The HTTP client
 * doesn't look at a request's signal while the request waits for its
 * connection, which behind a cut is as long as the connection attempt lasts.
 * The work itself isn't ended: it has to be given the signal as well.
 */
export async function unlessAborted<T>(
  work: Promise<T>,
  signal: AbortSignal,
): Promise<T> {
  signal.throwIfAborted();
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      reject(signal.reason as Error);
    };
    signal.addEventListener("abort", onAbort, { once: true });
    void work.then(resolve, reject).finally(() => {
      signal.removeEventListener("abort", onAbort);
    });
  });
}
