/** Real-time waits for tests that use sockets or timers. */
const POLL_INTERVAL_MS = 10;
const MAXIMUM_WAIT_MS = 10_000;

export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

export async function waitFor(condition: () => boolean): Promise<void> {
  const deadlineAtMs = Date.now() + MAXIMUM_WAIT_MS;
  while (!condition()) {
    if (Date.now() > deadlineAtMs)
      throw new TypeError("the condition was not met within 10 s");
    await pause(POLL_INTERVAL_MS);
  }
}
