/** Waits of tests that run over sockets, and of those with real timers. */
const POLL_MS = 10;
const LONGEST_WAIT_MS = 10_000;

export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

export async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + LONGEST_WAIT_MS;
  while (!condition()) {
    if (Date.now() > deadline) throw new TypeError("waited in vain");
    await pause(POLL_MS);
  }
}
