/** Ends an answer to a caller that can't be completed. */
import type { ServerResponse } from "node:http";

/**
 * An answer without chunks or length ends with its connection: closed in good
 * order, a broken one passes for whole. The caller sees a reset instead. With
 * chunks or a length, what is missing shows by itself.
 */
export function breakOff(response: ServerResponse): void {
  const isMarked = response.chunkedEncoding || !response.headersSent;
  if (isMarked) response.destroy();
  else response.socket?.resetAndDestroy();
}
