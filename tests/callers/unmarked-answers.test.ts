import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { createAnswerWriter } from "../../src/daemon/entry/answer-writer.js";
import type { AnswerWriter } from "../../src/daemon/entry/caller-request.js";
import { listen } from "../../src/daemon/listening.js";
import { failure } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";
import { callHttp, type ObservedResponse } from "../support/http-call.js";
import { sendRaw } from "../support/raw-call.js";
import { createLimits } from "./test-server.js";

const BUFFER_LIMIT_BYTES = 1024;
const LARGE_PIECE = Buffer.alloc(2 * BUFFER_LIMIT_BYTES, "a");
const CONTENT_TYPE = [{ name: "content-type", value: "text/plain" }];
/** Long enough for the caller to receive the first bytes. */
const FIRST_BYTES_DELAY_MS = 100;

const limits = createLimits({ answerBytes: BUFFER_LIMIT_BYTES });

type WriteAnswer = (writer: AnswerWriter) => void;

async function startServer(writeAnswer: WriteAnswer, streamed: boolean) {
  const server = createServer((_request, response) => {
    writeAnswer(
      createAnswerWriter(response, { request: "r", streamed, limits }),
    );
  });
  return listen(server, { host: "127.0.0.1", port: 0 });
}

async function observeAnswer(
  writeAnswer: WriteAnswer,
  streamed = false,
): Promise<ObservedResponse> {
  await using server = await startServer(writeAnswer, streamed);
  return await callHttp({ address: server.address, path: "/" });
}

function framingOf({ headers }: ObservedResponse) {
  return {
    length: headers["content-length"],
    coding: headers["transfer-encoding"],
    connection: headers.connection,
  };
}

function afterFirstBytes(action: () => void): void {
  setTimeout(action, FIRST_BYTES_DELAY_MS);
}

const IN_CHUNKS = {
  length: undefined,
  coding: "chunked",
  connection: "close",
};

describe("an answer whose end isn't confirmed", () => {
  // Guards against an answer whose end only the close of its connection tells.
  // The outcome "unmarked" says that the backend server didn't mark its end.
  it("is sent with a length and says that its end isn't marked", async () => {
    const observed = await observeAnswer((writer) => {
      writer.head(200, CONTENT_TYPE, false);
      writer.piece(Buffer.from("half of"));
      writer.end(false);
    });
    assert.equal(framingOf(observed), {
      length: "7",
      coding: undefined,
      connection: "close",
    });
    assert.is(observed.headers["apricotdeck-outcome"], "unmarked");
    assert.equal([observed.status, observed.body], [200, "half of"]);
    assert.is(observed.connectionError, undefined);
  });

  // Guards against the same in an answer whose head is sent before its end is
  // known.
  it("is sent in chunks when it exceeds the buffer limit", async () => {
    const observed = await observeAnswer((writer) => {
      writer.head(200, CONTENT_TYPE, false);
      writer.piece(LARGE_PIECE);
      writer.end(false);
    });
    assert.equal(framingOf(observed), IN_CHUNKS);
    assert.is(observed.body.length, LARGE_PIECE.length);
    assert.is(observed.connectionError, undefined);
  });

  // Guards against a last chunk that completes an answer that broke off.
  it("has no end when it is known to be incomplete", async () => {
    const observed = await observeAnswer((writer) => {
      writer.head(200, CONTENT_TYPE, false);
      writer.piece(LARGE_PIECE);
      afterFirstBytes(() => {
        writer.fail(failure(1216));
      });
    });
    assert.equal(framingOf(observed), IN_CHUNKS);
    assert.is(observed.connectionError, "ECONNRESET");
  });

  // The head announced a marked end and was sent with chunked coding. The
  // answer then ends without a mark, so the last chunk must not be sent.
  it("is reset when its head announced a marked end", async () => {
    for (const streamed of [false, true]) {
      const observed = await observeAnswer((writer) => {
        writer.head(200, CONTENT_TYPE, true);
        writer.piece(LARGE_PIECE);
        afterFirstBytes(() => {
          writer.end(false);
        });
      }, streamed);
      assert.is(framingOf(observed).coding, "chunked");
      assert.is(observed.connectionError, "ECONNRESET");
      assert.not.ok(observed.body.includes("[DONE]"));
    }
  });

  // A caller that asked for a stream gets a plain answer without a marked end:
  // a closing event would mark it as complete.
  it("gets no closing event from the entry", async () => {
    const observed = await observeAnswer((writer) => {
      writer.head(400, CONTENT_TYPE, false);
      writer.piece(Buffer.from("half of"));
      writer.end(false);
    }, true);
    assert.equal(framingOf(observed), IN_CHUNKS);
    assert.is(observed.body, "data: half of\n\n");
    assert.is(observed.connectionError, undefined);
  });

  it("isn't continued by a later attempt after it was discarded", async () => {
    // The first attempt's answer exceeded the buffer, was partly sent and broke
    // off. If another attempt answers during the delay before the reset, the
    // caller must not get its end appended to the first part.
    for (const second of [
      Buffer.from("b"),
      Buffer.alloc(2 * BUFFER_LIMIT_BYTES, "b"),
    ]) {
      const { body, connectionError } = await observeAnswer((writer) => {
        writer.head(200, [], false);
        writer.piece(LARGE_PIECE);
        afterFirstBytes(() => {
          writer.discard();
          writer.head(200, [], true);
          writer.piece(second);
          writer.end(true);
        });
      });
      assert.not.ok(body.includes("b"));
      assert.is(connectionError, "ECONNRESET");
    }
  });

  it("isn't ended by a closing event inside an event's data", async () => {
    // Every line of an event's data needs the "data:" field name. With only the
    // first line named, data that contains a closing event would end the stream
    // for the caller.
    const { body } = await observeAnswer((writer) => {
      writer.head(200, [], true);
      writer.piece(Buffer.from("a\n\ndata: [DONE]"));
      writer.piece(Buffer.from("b"));
      writer.end(true);
    }, true);
    const first = "data: a\ndata: \ndata: data: [DONE]\n\n";
    assert.is(body, `${first}data: b\n\ndata: [DONE]\n\n`);
  });
});

describe("a caller without support for chunked coding", () => {
  // Guards against a truncated answer that looks complete: it can't be sent in
  // chunks, so nothing of it may be sent before its end is known.
  it("gets an error when its answer breaks off", async () => {
    const writeAnswer: WriteAnswer = (writer) => {
      writer.head(200, CONTENT_TYPE, true);
      writer.piece(Buffer.from("half of"));
      afterFirstBytes(() => {
        writer.fail(failure(1216));
      });
    };
    for (const streamed of [false, true]) {
      await using server = await startServer(writeAnswer, streamed);
      const { status, text } = await sendRaw(server.address, [
        "GET / HTTP/1.0\r\n\r\n",
      ]);
      assert.is(status, 502);
      assert.match(text, /engine-failed/);
      assert.not.match(text, /half of/);
    }
  });
});
