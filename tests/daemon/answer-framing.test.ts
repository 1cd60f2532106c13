import { createServer, type ServerResponse } from "node:http";
import * as assert from "uvu/assert";
import {
  breakOff,
  endWithConnection,
} from "../../src/daemon/entry/answer-framing.js";
import { listen } from "../../src/daemon/listening.js";
import { describe, it } from "../support/describe.js";
import { callHttp } from "../support/http-call.js";

/** Between the first bytes and the last ones, ms. */
const PAUSE_MS = 20;

/** Breaks off right behind its last bytes, before anybody has read them. */
function breakOffBehindBytes(response: ServerResponse): void {
  response.write("first ");
  setTimeout(() => {
    response.write("last");
    // By then the bytes have left, and nobody has had the time to read them.
    process.nextTick(() => {
      breakOff(response);
    });
  }, PAUSE_MS);
}

describe("a broken answer without length or chunks", () => {
  it("shows as broken to a caller that reads late", async () => {
    // Caller: all bytes and a plain end, as of a whole answer. The reset came
    // while the last bytes were still unread, and an event loop that finds
    // bytes and a reset at once (libuv's) reports the bytes and an end.
    const server = createServer((_, response) => {
      endWithConnection(response);
      breakOffBehindBytes(response);
    });
    await using site = await listen(server, { host: "127.0.0.1", port: 0 });
    const answer = await callHttp({ address: site.address, path: "/" });
    assert.is(answer.body, "first last");
    assert.is(answer.fault, "ECONNRESET");
  });
});
