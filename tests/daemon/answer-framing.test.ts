import { createServer, type ServerResponse } from "node:http";
import { connect } from "node:net";
import * as assert from "uvu/assert";
import {
  RESET_DELAY_MS,
  breakOff,
} from "../../src/daemon/entry/answer-framing.js";
import { listen } from "../../src/daemon/listening.js";
import { describe, it } from "../support/describe.js";
import { callHttp } from "../support/http-call.js";

/** Delay between the first bytes and the last ones. */
const WRITE_DELAY_MS = 20;

/** Leaves nothing but the end of the connection to end the answer. */
function delimitByConnectionClose(response: ServerResponse): void {
  response.removeHeader("transfer-encoding");
  response.removeHeader("content-length");
  response.setHeader("connection", "close");
}

/** Breaks off right after the last bytes, before the caller has read them. */
function breakOffAfterWrite(response: ServerResponse): void {
  response.write("first ");
  setTimeout(() => {
    response.write("last");
    // The bytes have been sent by now, but not yet read.
    process.nextTick(() => {
      breakOff(response);
    });
  }, WRITE_DELAY_MS);
}

describe("a broken answer without a length or chunked coding", () => {
  it("is reported as broken to a caller that reads late", async () => {
    // Guards against a truncated answer that looks complete to the caller. If
    // the reset arrives while the last bytes are unread, an event loop that
    // finds bytes and a reset at once (libuv's) reports the bytes and an end.
    const server = createServer((_, response) => {
      delimitByConnectionClose(response);
      breakOffAfterWrite(response);
    });
    await using listening = await listen(server, {
      host: "127.0.0.1",
      port: 0,
    });
    const answer = await callHttp({ address: listening.address, path: "/" });
    assert.is(answer.body, "first last");
    assert.is(answer.connectionError, "ECONNRESET");
  });

  it("closes the connection after an earlier pipelined answer", async () => {
    // Guards against a caller that pipelines two requests and waits for the
    // second answer forever. That answer broke off while the first one was
    // still running, when it had no connection yet that could be reset.
    const server = createServer((request, response) => {
      if (request.url === "/first") {
        setTimeout(() => response.end("first"), 4 * RESET_DELAY_MS);
        return;
      }
      delimitByConnectionClose(response);
      response.write("half of");
      breakOff(response);
    });
    await using listening = await listen(server, {
      host: "127.0.0.1",
      port: 0,
    });
    const [host, port] = listening.address.split(":");
    const socket = connect(Number(port), host);
    let hasTimedOut = false;
    const timeout = setTimeout(() => {
      hasTimedOut = true;
      socket.destroy();
    }, 1000);
    let text = "";
    socket.on("data", (part: Buffer) => {
      text += part.toString();
    });
    socket.on("error", () => undefined);
    socket.write("GET /first HTTP/1.1\r\nhost: a\r\n\r\n");
    socket.write("GET /second HTTP/1.1\r\nhost: a\r\n\r\n");
    await new Promise((resolve) => socket.once("close", resolve));
    clearTimeout(timeout);
    assert.not.ok(hasTimedOut);
    assert.match(text, /first$/);
  });
});
