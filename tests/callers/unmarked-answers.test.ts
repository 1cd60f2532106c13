import { createServer } from "node:http";
import { connect } from "node:net";
import * as assert from "uvu/assert";
import { createAnswerWriter } from "../../src/daemon/entry/answer-writer.js";
import type { AnswerWriter } from "../../src/daemon/entry/work.js";
import { listen } from "../../src/daemon/listening.js";
import {
  parseSettings,
  type EntrySettings,
} from "../../src/daemon/settings.js";
import { failure } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";
import { callHttp, type SeenAnswer } from "../support/http-call.js";

const HELD_BYTES = 1024;
const LARGE = Buffer.alloc(2 * HELD_BYTES, "a");
const TYPE = [{ name: "content-type", value: "text/plain" }];
/** The first bytes are with the caller by then. */
const LATER_MS = 100;

const settings = parseSettings(
  JSON.stringify({
    role: "entry",
    name: "entry",
    dataCentre: "lac",
    platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:1" },
    limits: { answerBytes: HELD_BYTES },
  }),
  "test",
) as EntrySettings;

type Answer = (writer: AnswerWriter) => void;

async function serve(answer: Answer, streamed: boolean) {
  const { limits } = settings;
  const server = createServer((_request, response) => {
    answer(createAnswerWriter(response, { request: "r", streamed, limits }));
  });
  return listen(server, { host: "127.0.0.1", port: 0 });
}

async function see(answer: Answer, streamed = false): Promise<SeenAnswer> {
  await using server = await serve(answer, streamed);
  return await callHttp({ address: server.address, path: "/" });
}

function framingOf({ headers }: SeenAnswer) {
  return {
    length: headers["content-length"],
    coding: headers["transfer-encoding"],
    connection: headers.connection,
  };
}

function later(then: () => void): void {
  setTimeout(then, LATER_MS);
}

const BY_CONNECTION = {
  length: undefined,
  coding: undefined,
  connection: "close",
};

describe("an answer whose end nobody vouches for", () => {
  // The caller gets the bytes, no length and no chunks, and the end of the
  // connection: as much as the backend server said. The outcome names it.
  it("goes out without a mark of ours", async () => {
    const seen = await see((writer) => {
      writer.head(200, TYPE, false);
      writer.piece(Buffer.from("half of"));
      writer.end(false);
    });
    assert.equal(framingOf(seen), BY_CONNECTION);
    assert.is(seen.headers["apricotdeck-outcome"], "unmarked");
    assert.equal([seen.status, seen.body], [200, "half of"]);
    assert.is(seen.fault, undefined);
  });

  // Too large to hold back, its head goes out before its end is known. Chunks
  // would promise a mark that nobody can give when the end comes.
  it("goes out without chunks when it is too large to hold back", async () => {
    const seen = await see((writer) => {
      writer.head(200, TYPE, false);
      writer.piece(LARGE);
      writer.end(false);
    });
    assert.equal(framingOf(seen), BY_CONNECTION);
    assert.is(seen.body.length, LARGE.length);
    assert.is(seen.fault, undefined);
  });

  // The caller sees its connection reset. The answer is with it in part, ended
  // by the connection only, and breaks off: an orderly close would be its end.
  it("ends in a reset when it is known to have broken off", async () => {
    const seen = await see((writer) => {
      writer.head(200, TYPE, false);
      writer.piece(LARGE);
      later(() => {
        writer.fail(failure(1216));
      });
    });
    assert.equal(framingOf(seen), BY_CONNECTION);
    assert.is(seen.fault, "ECONNRESET");
  });

  // The caller sees its answer cut. The head was a marked answer's and went out
  // in chunks; the answer was had again without a mark, and its end isn't
  // enough for the last chunk.
  it("is cut where a mark was promised", async () => {
    for (const streamed of [false, true]) {
      const seen = await see((writer) => {
        writer.head(200, TYPE, true);
        writer.piece(LARGE);
        later(() => {
          writer.end(false);
        });
      }, streamed);
      assert.is(framingOf(seen).coding, "chunked");
      assert.is(seen.fault, "ECONNRESET");
      assert.not.ok(seen.body.includes("[DONE]"));
    }
  });

  // A caller of a stream gets an answer that is no stream, one event without a
  // closing event, and the end of the connection.
  it("gets no closing event from us", async () => {
    const seen = await see((writer) => {
      writer.head(400, TYPE, false);
      writer.piece(Buffer.from("half of"));
      writer.end(false);
    }, true);
    assert.equal(framingOf(seen), BY_CONNECTION);
    assert.is(seen.body, "data: half of\n\n");
    assert.is(seen.fault, undefined);
  });

  it("that was given up gets no end from a later attempt", async () => {
    // Caller: the first part of one attempt's answer and the end of another's,
    // closed in good order. The first was too large to hold back and broke off;
    // in the pause before its reset another attempt answered.
    for (const second of [
      Buffer.from("b"),
      Buffer.alloc(2 * HELD_BYTES, "b"),
    ]) {
      const { body, fault } = await see((writer) => {
        writer.head(200, [], false);
        writer.piece(LARGE);
        later(() => {
          writer.discard();
          writer.head(200, [], true);
          writer.piece(second);
          writer.end(true);
        });
      });
      assert.not.ok(body.includes("b"));
      assert.is(fault, "ECONNRESET");
    }
  });

  it("isn't closed by a line of an event's data", async () => {
    // Caller: half of an event's data, and a closing event that its backend
    // server never sent, behind which others follow. An event of several lines
    // of data was written with the name of the first line only.
    const { body } = await see((writer) => {
      writer.head(200, [], true);
      writer.piece(Buffer.from("a\n\ndata: [DONE]"));
      writer.piece(Buffer.from("b"));
      writer.end(true);
    }, true);
    const first = "data: a\ndata: \ndata: data: [DONE]\n\n";
    assert.is(body, `${first}data: b\n\ndata: [DONE]\n\n`);
  });
});

describe("a caller that knows no chunks", () => {
  // The caller of HTTP/1.0 sees its connection reset. Its answer can end with
  // the connection only, and breaks off after its first part has gone out.
  it("sees a reset when its answer breaks off", async () => {
    const answer: Answer = (writer) => {
      writer.head(200, TYPE, true);
      writer.piece(LARGE);
      later(() => {
        writer.fail(failure(1216));
      });
    };
    await using server = await serve(answer, false);
    const [host, port] = server.address.split(":");
    const fault = await new Promise<string | undefined>((resolve) => {
      const socket = connect(Number(port), host);
      let code: string | undefined;
      socket.on("error", (error: NodeJS.ErrnoException) => {
        code = error.code;
      });
      socket.on("close", () => {
        resolve(code);
      });
      socket.resume();
      socket.write("GET / HTTP/1.0\r\n\r\n");
    });
    assert.is(fault, "ECONNRESET");
  });
});
