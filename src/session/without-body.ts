/** Calls of runs that have started, which need their body no more. */
import type { Call } from "./types.js";

const EMPTY_BODY = new Uint8Array(0);

export function withoutBody(call: Call): Call {
  return { ...call, body: EMPTY_BODY };
}
