/** Reads the HTTP header Retry-After, given in seconds. */

const MS_PER_SECOND = 1000;
/** Seconds, with or without a fraction. */
const SECONDS = /^(?:\d+(?:\.\d*)?|\.\d+)$/;

/** The delay, ms; undefined if the value isn't a number of seconds. */
export function parseRetryAfterMs(text: string): number | undefined {
  const seconds = text.trim();
  if (!SECONDS.test(seconds)) return undefined;
  const delayMs = Number(seconds) * MS_PER_SECOND;
  return Number.isFinite(delayMs) ? delayMs : undefined;
}
