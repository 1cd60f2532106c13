import { createServer, type ServerResponse } from "node:http";
import { connect } from "node:net";
import * as assert from "uvu/assert";
import {
  RESET_DELAY_MS,
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

  it("closes the connection behind an earlier answer", async () => {
    // Caller: the first of two answers, then nothing for as long as it waits.
    // It had sent both requests at once; the second answer broke off while the
    // first still ran, and had no connection yet that could be reset.
    const server = createServer((request, response) => {
      if (request.url === "/first") {
        setTimeout(() => response.end("first"), 4 * RESET_DELAY_MS);
        return;
      }
      endWithConnection(response);
      response.write("half of");
      breakOff(response);
    });
    await using site = await listen(server, { host: "127.0.0.1", port: 0 });
    const [host, port] = site.address.split(":");
    const socket = connect(Number(port), host);
    let isLate = false;
    const late = setTimeout(() => {
      isLate = true;
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
    clearTimeout(late);
    assert.not.ok(isLate);
    assert.match(text, /first$/);
  });
});
