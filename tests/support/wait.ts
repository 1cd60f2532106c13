/** Waits for a condition of a test that runs over sockets. */
const POLL_MS = 10;
const LONGEST_WAIT_MS = 10_000;

export async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + LONGEST_WAIT_MS;
  while (!condition()) {
    if (Date.now() > deadline) throw new TypeError("waited in vain");
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
