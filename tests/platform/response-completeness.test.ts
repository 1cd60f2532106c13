/** Tests that a caller can tell a truncated response from a complete one. */
import { connect } from "node:net";
import * as assert from "uvu/assert";
import { headerNames } from "../../platform/names.js";
import {
  answerRaw,
  formatEvent,
  type Behaviour,
} from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { CREDENTIAL, EntrySite } from "./entry-site.js";

const OTHER_CODING = "transfer-encoding: identity\r\n";
/**
 * A tab after the coding: undici doesn't recognize it as chunked and reads up
 * to the end of the connection.
 */
const CODING_WITH_TAB = "transfer-encoding: chunked\t\r\n";
/** More than the socket buffers hold when the caller doesn't read. */
const LATE_RESPONSE_BYTES = 12_000_000;
/** Long enough for the entry to receive the response, ms. */
const LATE_READ_DELAY_MS = 400;
const EVENTS_STREAM = "content-type: text/event-stream\r\n";

/** Sends an event every 10 ms until the connection is closed. */
const streamEndlessly: Behaviour = async ({ request, signatureHeaders }) => {
  const { socket } = request;
  answerRaw(EVENTS_STREAM, formatEvent(1))({ request, signatureHeaders });
  for (let id = 2; !socket.destroyed; id += 1) {
    socket.write(formatEvent(id));
    await pause(10);
  }
};

interface LateReader {
  /** Reads everything up to the end of the connection. */
  readonly read: () => Promise<{
    readonly bytes: number;
    readonly isReset: boolean;
  }>;
}

/**
 * Sends a request, but reads nothing of the response until `read` is called.
 */
function callWithLateReader(address: string): LateReader {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  socket.pause();
  const head = [
    "GET /once/late HTTP/1.1",
    "host: site.example",
    `${headerNames.attemptId}: late`,
    `${headerNames.credential}: ${CREDENTIAL}`,
  ];
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  let bytes = 0;
  socket.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
  });
  socket.pause();
  return {
    read: () =>
      new Promise((resolve) => {
        socket.once("error", () => {
          resolve({ bytes, isReset: true });
        });
        socket.once("end", () => {
          // When libuv finds data and a reset in the same poll, it reports the
          // data and a regular end. A write then fails after a reset and
          // succeeds after a regular end.
          socket.write("\n", (error) => {
            resolve({ bytes, isReset: error instanceof Error });
            socket.destroy();
          });
        });
        socket.resume();
      }),
  };
}

/** Resets the connection before the client can have read the response. */
function resetImmediately(head: string, body: string): Behaviour {
  return ({ request, signatureHeaders }) => {
    answerRaw(head, body)({ request, signatureHeaders });
    process.nextTick(() => {
      request.socket.resetAndDestroy();
    });
  };
}

/**
 * Answers the first request. On the second one, sends a late refusal of the
 * first before the actual response.
 */
function refusePreviousRequestLate(): Behaviour {
  let first: Readonly<Record<string, string>> | undefined;
  return async ({ request: { socket }, response, signatureHeaders }) => {
    if (first === undefined) {
      first = signatureHeaders;
      response.writeHead(200, signatureHeaders).end("first");
      return;
    }
    const fields = { ...first, [headerNames.notRun]: "1", "content-length": 0 };
    const lines = Object.entries(fields).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    socket.write(`HTTP/1.1 503 Full\r\n${lines.join("")}\r\n`);
    await pause(20);
    response.writeHead(200, signatureHeaders).end("second");
  };
}

describe("the end of a response", () => {
  it("is counted by its framing", async () => {
    // Callers see the same response either way. The metric tells operators how
    // many responses ended without a verifiable end.
    await using site = await EntrySite.createWithRunners(
      answerRaw("content-length: 3\r\n", "all", "end"),
    );
    const [runner] = site.runners;
    await site.call({ path: "/once/a" });
    runner.behaviour = answerRaw("", "half of", "end");
    await site.call({ path: "/once/a" });
    const { metrics } = site.entry.addresses;
    const text = await (await fetch(`http://${metrics}/metrics`)).text();
    assert.match(text, /answers_passed_on_total\{.*end_mark="length".*\} 1/);
    assert.match(
      text,
      /answers_passed_on_total\{.*end_mark="connection".*\} 1/,
    );
  });

  describe("without length or chunks", () => {
    // Guards against a response whose end only the close of its connection
    // tells, so that the end of the entry's process would look the same.
    for (const [name, coding] of [
      ["another transfer coding", OTHER_CODING],
      ["a coding followed by a tab", CODING_WITH_TAB],
    ] as const) {
      it(`gets a length when ${name} is named`, async () => {
        await using site = await EntrySite.createWithRunners(
          answerRaw(coding, "the answer", "end"),
        );
        const answer = await site.call({ path: "/once/a" });
        assert.is(answer.status, 200);
        assert.is(answer.body, "the answer");
        assert.is(answer.headers["content-length"], "10");
        assert.is(answer.headers["transfer-encoding"], undefined);
      });
    }

    // Guards against a last chunk before the runner's connection has ended in
    // order, which would complete a stream that breaks off.
    it("gets chunks in a stream, and the last one at its regular end", async () => {
      await using site = await EntrySite.createWithRunners(
        answerRaw(OTHER_CODING + EVENTS_STREAM, formatEvent(1), "end"),
      );
      const whole = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(whole.body, formatEvent(1));
      assert.ok(whole.isComplete);
      assert.is(whole.headers["transfer-encoding"], "chunked");
      const { runners } = site;
      const head = OTHER_CODING + EVENTS_STREAM;
      runners[0].behaviour = answerRaw(head, formatEvent(1), "reset");
      const broken = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(broken.body, formatEvent(1));
      assert.not.ok(broken.isComplete);
    });
  });

  describe("that is known to be truncated", () => {
    it("is a reset when nothing else would show it", async () => {
      // The runner's connection is reset after the first event, and no other
      // runner can resume the stream. Without length or chunks, a normal close
      // of the caller's connection would present the truncated stream as a
      // complete one.
      await using site = await EntrySite.createWithRunners(
        answerRaw(EVENTS_STREAM, formatEvent(1), "reset"),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, formatEvent(1));
      assert.not.ok(answer.isComplete);
    });

    it("is a reset that the caller can tell from a regular end", async () => {
      // As above, with the reset right after the last event. When libuv finds
      // data and a reset in the same poll, it reports the data and a regular
      // end, so that the caller wouldn't see the reset.
      await using site = await EntrySite.createWithRunners(
        answerRaw(EVENTS_STREAM, `${formatEvent(1)}id: 2\ndata: ha`, "end"),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, formatEvent(1));
      assert.not.ok(answer.isComplete);
    });

    it("is an error when the runner's reset arrives together with its data", async () => {
      // The runner's connection is reset right after the body. When libuv finds
      // data and a reset in the same poll, it reports the data and a regular
      // end, here to the entry, which would pass on half of the body as a
      // complete response.
      await using site = await EntrySite.createWithRunners(
        resetImmediately("", "half of"),
      );
      const answer = await site.call({ path: "/once/a", method: "POST" });
      assert.is(answer.status, 504);
      site.runners[0].behaviour = resetImmediately(
        EVENTS_STREAM,
        formatEvent(1),
      );
      const stream = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(stream.body, formatEvent(1));
      assert.not.ok(stream.isComplete);
    });

    it("is a reset when the caller's deadline passes", async () => {
      // The caller's deadline passes while the stream is running.
      await using site = await EntrySite.createWithRunners(streamEndlessly);
      const answer = await site.call({
        path: "/stream/a",
        method: "POST",
        headers: { "apricotdeck-deadline-ms": "150" },
      });
      assert.is(answer.status, 200);
      assert.not.ok(answer.isComplete);
    });

    it("is a reset when the entry stops before a slow caller has read everything", async () => {
      // The caller reads slowly, so most of the response is still buffered in
      // the entry when the entry stops. Closing the connection normally, since
      // the request itself has ended, would present part of the body as a
      // complete response.
      const body = "a".repeat(LATE_RESPONSE_BYTES);
      const site = await EntrySite.createWithRunners(
        answerRaw("", body, "end"),
      );
      const caller = callWithLateReader(site.entry.addresses.callers);
      await pause(LATE_READ_DELAY_MS);
      await site[Symbol.asyncDispose]();
      const { bytes, isReset } = await caller.read();
      assert.ok(bytes >= LATE_RESPONSE_BYTES || isReset);
    });

    it("is a reset when the entry stops", async () => {
      // The entry's grace period ends while the stream is running. When the
      // process exits, the kernel closes the connection normally unless the
      // entry resets it first.
      const site = await EntrySite.createWithRunners(streamEndlessly);
      const call = site.call({
        path: "/stream/a",
        method: "POST",
        headers: { "apricotdeck-deadline-ms": "5000" },
      });
      await site.waitUntil(() => site.runners[0].receivedRequests.length === 1);
      await pause(50);
      await site[Symbol.asyncDispose]();
      const answer = await call;
      assert.is(answer.status, 200);
      assert.not.ok(answer.isComplete);
    });
  });

  it("of an earlier request isn't taken for that of a later one", async () => {
    // The runner sends a late second response, a refusal, to the previous
    // request on the same connection. If the attempt id weren't checked on
    // refusals, the caller would be told "not run" and repeat a request that
    // the runner is executing.
    await using site = await EntrySite.createWithRunners(
      refusePreviousRequestLate(),
    );
    await site.call({ path: "/once/a", method: "POST" });
    const answer = await site.call({ path: "/once/b", method: "POST" });
    assert.is(site.runners[0].receivedRequests.length, 2);
    assert.not.ok([408, 421, 429, 503].includes(answer.status));
  });
});
