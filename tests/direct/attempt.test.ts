import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { headerCodec } from "../../platform/headers.js";
import { headerNames } from "../../platform/names.js";
import { listen } from "../../src/daemon/listening.js";
import { Attempt } from "../../src/direct/attempt.js";
import { connectRunner } from "../../src/direct/runner-connections.js";
import { answerRaw, formatEvent } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";

const ATTEMPT_ID = "attempt-1";
const MAXIMUM_BUFFERED_BYTES = 1024;
/**
 * Delay between the event and the end of the connection, ms: the response is
 * paused by then.
 */
const END_AFTER_MS = 30;
/** Delay between the end of the connection and the resumption, ms. */
const RESUME_AFTER_MS = 100;

describe("attempt with a paused response", () => {
  it("ends cleanly when its connection ends", async () => {
    // Guards against a crash of the entry, which cuts the responses of all its
    // callers. If a caller reads its stream slowly and the runner ends the
    // stream by closing the connection, pausing the HTTP client makes its
    // assertion that nothing is paused fail outside of any request.
    const faults: string[] = [];
    const onFault = (error: Error): void => {
      faults.push(error.message);
    };
    process.on("uncaughtException", onFault);
    const server = createServer((request) => {
      const signatureHeaders = {
        [headerNames.attemptId]: ATTEMPT_ID,
        [headerNames.signature]: "signature",
      };
      answerRaw("", formatEvent(1))({ request, signatureHeaders });
      setTimeout(() => request.socket.end(), END_AFTER_MS);
    });
    await using runner = await listen(server, { host: "127.0.0.1", port: 0 });
    const connections = connectRunner(runner.address);
    const attempt = Attempt.create({
      connections,
      request: { method: "POST", path: "/" },
      attemptId: ATTEMPT_ID,
      codec: headerCodec,
      sink: {
        onHead: () => undefined,
        onData: (_chunk, flow) => {
          flow.pause();
          setTimeout(() => {
            flow.resume();
          }, END_AFTER_MS + RESUME_AFTER_MS);
          return undefined;
        },
        onEnd: () => undefined,
      },
      onAnswer: () => undefined,
      maximumBufferedBytes: MAXIMUM_BUFFERED_BYTES,
    });
    const overdueTimer = setTimeout(() => {
      attempt.giveUp("overdue");
    }, 1000);
    const { kind } = await attempt.run();
    clearTimeout(overdueTimer);
    connections.abortAll();
    process.off("uncaughtException", onFault);
    assert.equal(faults, []);
    assert.is(kind, "streamed");
  });
});
