/**
 * Limits what a planner has on its link at once. An agent's VM has a small part
 * of a link, and a map sent to all ranks together would keep every answer
 * waiting until its timeout.
 */

/** Bytes of orders with maps that are under way at once. */
export const WINDOW_BYTES = 65_536;
/** Messages up to this size don't wait for the window. */
const SMALL_MESSAGE_BYTES = 512;
/** Slowest link that an agent is expected to get through, bytes/ms. */
const LEAST_BYTES_PER_MS = 200;

/** Time that a message of this size may spend on a busy link, ms. */
export function transferTimeMs(bytes: number): number {
  if (bytes <= SMALL_MESSAGE_BYTES) return 0;
  return Math.max(bytes, WINDOW_BYTES) / LEAST_BYTES_PER_MS;
}

export class SendWindow {
  private underWay = 0;
  private readonly waiting: (() => void)[] = [];

  static create(): SendWindow {
    return new SendWindow();
  }

  /** A message larger than the window is sent alone. */
  async send<T>(bytes: number, send: () => Promise<T>): Promise<T> {
    if (bytes <= SMALL_MESSAGE_BYTES) return send();
    const size = Math.min(bytes, WINDOW_BYTES);
    while (this.underWay + size > WINDOW_BYTES) {
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    }
    this.underWay += size;
    try {
      return await send();
    } finally {
      this.underWay -= size;
      for (const resume of this.waiting.splice(0)) resume();
    }
  }
}
