/**
 * A stream of server-sent events has a closing event of its own. An agent, of
 * any release, reports the end of such an answer only after that event.
 */
import type { Header } from "./types.js";

const EVENT_STREAM = "text/event-stream";

export function isClosedByEvent(headers: readonly Header[]): boolean {
  return headers.some(
    ({ name, value }) =>
      name === "content-type" && value.startsWith(EVENT_STREAM),
  );
}
