/**
 * Waits for the work, or rejects with the signal's reason. The HTTP client
 * ignores a request's signal while the request waits for its connection, which
 * during a network partition takes as long as the connection attempt. The work
 * itself isn't aborted; it needs the signal too.
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
