/** Calls of the path with sessions. */
import type { Call } from "../../src/internal.js";

export function createCall(fields: Partial<Call> = {}): Call {
  return {
    request: "request-1",
    account: "account-1",
    method: "GET",
    path: "/",
    headers: [],
    body: new Uint8Array(0),
    streamed: false,
    repeatable: false,
    priority: 0,
    costTokens: 1,
    idempotencyKey: "",
    model: "",
    ...fields,
  };
}
