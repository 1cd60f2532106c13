/**
 * A stream of server-sent events ends with a closing event. Agents of every
 * release report the end of such an answer only after that event.
 */
import type { Header } from "./types.js";

const EVENT_STREAM_TYPE = "text/event-stream";

export function isClosedByEvent(headers: readonly Header[]): boolean {
  return headers.some(
    ({ name, value }) =>
      name === "content-type" && value.startsWith(EVENT_STREAM_TYPE),
  );
}
