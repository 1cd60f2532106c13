/** What a caller is told of the end of an answer, whatever ends it early. */
import { connect } from "node:net";
import * as assert from "uvu/assert";
import { headerNames } from "../../platform/names.js";
import {
  answerRaw,
  eventOf,
  type Behaviour,
} from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { CREDENTIAL, EntrySite } from "./entry-site.js";

const OTHER_CODING = "transfer-encoding: identity\r\n";
/** The client library reads such an answer up to the end of its connection. */
const CODING_AND_TAB = "transfer-encoding: chunked\t\r\n";
/** More than a connection takes without a reader. */
const LATE_BYTES = 12_000_000;
/** The answer has come by then, ms. */
const LATE_MS = 400;
const EVENTS_STREAM = "content-type: text/event-stream\r\n";

/** An event every few ms until the caller's connection is gone. */
const trickleWithoutEnd: Behaviour = async ({ request, signed }) => {
  const { socket } = request;
  answerRaw(EVENTS_STREAM, eventOf(1))({ request, signed });
  for (let id = 2; !socket.destroyed; id += 1) {
    socket.write(eventOf(id));
    await pause(10);
  }
};

interface LateCaller {
  /** Reads all that is there, up to the connection's end. */
  readonly read: () => Promise<{
    readonly bytes: number;
    readonly isReset: boolean;
  }>;
}

/** Sends a request and reads nothing of the answer until told to. */
function callLate(address: string): LateCaller {
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
  socket.on("data", (part: Buffer) => {
    bytes += part.length;
  });
  socket.pause();
  return {
    read: () =>
      new Promise((resolve) => {
        socket.once("error", () => {
          resolve({ bytes, isReset: true });
        });
        socket.once("end", () => {
          // libuv reports bytes and a reset that it finds at once as bytes and
          // a plain end. The kernel still knows: it refuses the next write,
          // which behind a plain end it takes.
          socket.write("\n", (error) => {
            resolve({ bytes, isReset: error instanceof Error });
            socket.destroy();
          });
        });
        socket.resume();
      }),
  };
}

/** Resets the connection before anybody can have read the bytes. */
function resetAtOnce(head: string, body: string): Behaviour {
  return ({ request, signed }) => {
    answerRaw(head, body)({ request, signed });
    process.nextTick(() => {
      request.socket.resetAndDestroy();
    });
  };
}

/**
 * Answers the first request, then the second with a late refusal of the first
 * before its own answer.
 */
function refuseLate(): Behaviour {
  let first: Readonly<Record<string, string>> | undefined;
  return async ({ request: { socket }, response, signed }) => {
    if (first === undefined) {
      first = signed;
      response.writeHead(200, signed).end("first");
      return;
    }
    const fields = { ...first, [headerNames.notRun]: "1", "content-length": 0 };
    const lines = Object.entries(fields).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    socket.write(`HTTP/1.1 503 Full\r\n${lines.join("")}\r\n`);
    await pause(20);
    response.writeHead(200, signed).end("second");
  };
}

describe("the end of an answer", () => {
  it("is counted by what marked it", async () => {
    // Two answers that look alike to their callers but for the mark: an on-call
    // engineer has to tell how many of them nobody could vouch for.
    await using site = await EntrySite.serving(
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

  describe("that no length and no chunks mark", () => {
    it("gets no mark from us where another coding is named", async () => {
      // Caller: a success with a length of its own, and half of the body. The
      // runner named a transfer coding that isn't chunks, so that only the end
      // of its connection ended the answer, and its process ended inside. The
      // header's presence alone was taken for a mark.
      await using site = await EntrySite.serving(
        answerRaw(OTHER_CODING, "half of", "end"),
      );
      const answer = await site.call({ path: "/once/a" });
      assert.is(answer.status, 200);
      assert.is(answer.headers["content-length"], undefined);
      assert.is(answer.headers["transfer-encoding"], undefined);
      assert.is(answer.headers.connection, "close");
    });

    it("gets no mark from us where a tab follows the coding", async () => {
      // Caller: a success with a length of its own, and half of the body. The
      // library that reads answers takes a coding with a tab behind it for no
      // chunks and reads up to the end of the connection, where the runner's
      // process ended; our rule took the same header for chunks.
      await using site = await EntrySite.serving(
        answerRaw(CODING_AND_TAB, "half of", "end"),
      );
      const answer = await site.call({ path: "/once/a" });
      assert.is(answer.headers["content-length"], undefined);
      assert.is(answer.headers["transfer-encoding"], undefined);
    });

    it("gets no mark from us in such a stream", async () => {
      // As above; the stream's chunks of our own were closed behind the last
      // event that came, as if there had been no more.
      await using site = await EntrySite.serving(
        answerRaw(OTHER_CODING + EVENTS_STREAM, eventOf(1), "end"),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, eventOf(1));
      assert.is(answer.headers["transfer-encoding"], undefined);
      assert.is(answer.headers.connection, "close");
    });
  });

  describe("that is known to be broken", () => {
    it("is a reset where nothing else would show it", async () => {
      // Caller: a stream without length or chunks that ends in good order,
      // which is how a whole one ends. The runner's connection was reset after
      // the first event and no other runner could go on: we knew that the rest
      // was missing, and closed the caller's connection as if it weren't.
      await using site = await EntrySite.serving(
        answerRaw(EVENTS_STREAM, eventOf(1), "reset"),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, eventOf(1));
      assert.not.ok(answer.isWhole);
    });

    it("is a reset apart from the bytes before it", async () => {
      // Caller: as above, a stream that ends in good order. The reset came right
      // behind the last event; an event loop that finds bytes and a reset at
      // once (libuv's) reports the bytes and a plain end.
      await using site = await EntrySite.serving(
        answerRaw(EVENTS_STREAM, `${eventOf(1)}id: 2\ndata: ha`, "end"),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, eventOf(1));
      assert.not.ok(answer.isWhole);
    });

    it("is a failure where the reset comes together with the bytes", async () => {
      // Caller: half of a success, ended in good order. The runner's connection
      // was reset right behind its bytes; an event loop that finds bytes and a
      // reset at once (libuv's) reports the bytes and a plain end, here to us.
      await using site = await EntrySite.serving(resetAtOnce("", "half of"));
      const answer = await site.call({ path: "/once/a", method: "POST" });
      assert.is(answer.status, 504);
      site.runners[0].behaviour = resetAtOnce(EVENTS_STREAM, eventOf(1));
      const stream = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(stream.body, eventOf(1));
      assert.not.ok(stream.isWhole);
    });

    it("is a reset when the caller's time is over", async () => {
      // The stream still runs when the caller's deadline passes.
      await using site = await EntrySite.serving(trickleWithoutEnd);
      const answer = await site.call({
        path: "/stream/a",
        method: "POST",
        headers: { "apricotdeck-deadline-ms": "150" },
      });
      assert.is(answer.status, 200);
      assert.not.ok(answer.isWhole);
    });

    it("is a reset when the entry stops behind a late caller", async () => {
      // Caller: part of a success, ended in good order. It reads late, so that
      // most of the answer still waits in the entry when that stops; to the
      // entry the request was over, and the connection was closed like any.
      const body = "a".repeat(LATE_BYTES);
      const site = await EntrySite.serving(answerRaw("", body, "end"));
      const caller = callLate(site.entry.addresses.callers);
      await pause(LATE_MS);
      await site[Symbol.asyncDispose]();
      const { bytes, isReset } = await caller.read();
      assert.ok(bytes >= LATE_BYTES || isReset);
    });

    it("is a reset when the entry stops", async () => {
      // The stream still runs when the entry's grace period ends: its exit
      // closes the connection, in good order unless the entry resets it.
      const site = await EntrySite.serving(trickleWithoutEnd);
      const call = site.call({
        path: "/stream/a",
        method: "POST",
        headers: { "apricotdeck-deadline-ms": "5000" },
      });
      await site.until(() => site.runners[0].arrivals.length === 1);
      await pause(50);
      await site[Symbol.asyncDispose]();
      const answer = await call;
      assert.is(answer.status, 200);
      assert.not.ok(answer.isWhole);
    });
  });

  it("of an earlier request says nothing of a later one", async () => {
    // Caller: "not run and never will be", by which it sends a request again
    // that may run once, while the runner runs it. The refusal was a late second
    // answer to the request before on the same connection; the attempt that an
    // answer names was compared for all answers but refusals.
    await using site = await EntrySite.serving(refuseLate());
    await site.call({ path: "/once/a", method: "POST" });
    const answer = await site.call({ path: "/once/b", method: "POST" });
    assert.is(site.runners[0].arrivals.length, 2);
    assert.not.ok([408, 421, 429, 503].includes(answer.status));
  });
});
