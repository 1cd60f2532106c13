/** How sound runners answer. */
import { formatEvent, type Behaviour } from "../../standins/signing-runner.js";
import { sleepMs } from "./entry-process.js";

/** Works for a time, then sends a complete answer of 800 bytes. */
export function answerAfter(workMs: number): Behaviour {
  return async ({ response, signatureHeaders }) => {
    await sleepMs(workMs);
    response.writeHead(200, signatureHeaders).end("x".repeat(800));
  };
}

/** A stream of events with increasing ids; stops when it is closed. */
export function streamFor(events: number, pauseMs: number): Behaviour {
  return async ({ request, response, signatureHeaders }) => {
    const after = Number(request.headers["last-event-id"] ?? 0);
    const type = { "content-type": "text/event-stream" };
    response.writeHead(200, { ...signatureHeaders, ...type });
    for (let id = after + 1; id <= events; id += 1) {
      await sleepMs(pauseMs);
      if (response.destroyed) return;
      response.write(formatEvent(id));
    }
    response.end();
  };
}
