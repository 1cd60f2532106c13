import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { headerCodec } from "../../platform/headers.js";
import { headerNames } from "../../platform/names.js";
import { listen } from "../../src/daemon/listening.js";
import { Attempt } from "../../src/direct/attempt.js";
import { connectRunner } from "../../src/direct/runner-connections.js";
import { answerRaw, eventOf } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";

const ATTEMPT = "attempt-1";
const MAXIMUM_BYTES = 1024;
/** After the event, ms: the answer is paused by then. */
const END_AFTER_MS = 30;
/** After the connection's end, ms. */
const RESUME_AFTER_MS = 100;

describe("an attempt whose answer is paused", () => {
  it("takes the end of its connection", async () => {
    // Callers: all connections of the entry are gone, and with them every answer
    // under way; those without length or chunks end in good order. One caller
    // read its stream late, so that the answer was paused; its runner ended the
    // connection, which was the stream's end, and the client library's assertion
    // that nothing is paused failed outside of any request.
    const faults: string[] = [];
    const onFault = (error: Error): void => {
      faults.push(error.message);
    };
    process.on("uncaughtException", onFault);
    const server = createServer((request) => {
      const signed = {
        [headerNames.attemptId]: ATTEMPT,
        [headerNames.signature]: "signature",
      };
      answerRaw("", eventOf(1))({ request, signed });
      setTimeout(() => request.socket.end(), END_AFTER_MS);
    });
    await using runner = await listen(server, { host: "127.0.0.1", port: 0 });
    const connections = connectRunner(runner.address);
    const attempt = Attempt.create({
      connections,
      request: { method: "POST", path: "/" },
      attemptId: ATTEMPT,
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
      maximumBytes: MAXIMUM_BYTES,
    });
    const late = setTimeout(() => {
      attempt.giveUp("overdue");
    }, 1000);
    const { kind } = await attempt.run();
    clearTimeout(late);
    connections.endAll();
    process.off("uncaughtException", onFault);
    assert.equal(faults, []);
    assert.is(kind, "streamed");
  });
});
