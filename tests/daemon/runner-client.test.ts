import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";
import * as assert from "uvu/assert";
import {
  RunnerClient,
  idleTimeouts,
} from "../../src/daemon/agent/runner-client.js";
import { toFailure } from "../../src/internal.js";
import { createCall } from "../support/call.js";
import { describe, it } from "../support/describe.js";

const DEADLINE_MS = 2000;
const RESET_AFTER_MS = 40;

type CloseConnection = (socket: Socket) => void;

const closeGracefully: CloseConnection = (socket) => {
  socket.end();
};

const reset: CloseConnection = (socket) => {
  setTimeout(() => {
    socket.resetAndDestroy();
  }, RESET_AFTER_MS);
};

interface ObservedAnswer {
  readonly isEndMarked: boolean | undefined;
  readonly text: string;
  /** Error number; 0 if the answer is complete. */
  readonly error: number;
}

/**
 * The answer that the agent reads from these bytes and this connection's end.
 */
async function readAnswer(
  head: readonly string[],
  body: string,
  end = closeGracefully,
  method = "GET",
): Promise<ObservedAnswer> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(`${head.join("\r\n")}\r\n\r\n${body}`);
      end(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = `http://127.0.0.1:${port}`;
  await using client = RunnerClient.create(address, "service");
  let isEndMarked: boolean | undefined;
  let text = "";
  const sink = {
    head: (_status: number, _headers: unknown, isMarked: boolean) => {
      isEndMarked = isMarked;
    },
    piece: (data: Buffer) => {
      text += data.toString();
    },
  };
  const work = {
    run: "run",
    call: createCall({ method }),
    deadlineMs: DEADLINE_MS,
  };
  const signal = AbortSignal.timeout(DEADLINE_MS);
  let error = 0;
  try {
    await client.start(work, sink, signal);
  } catch (thrown) {
    error = toFailure(thrown, 1215).number;
  }
  server.close();
  return { isEndMarked, text, error };
}

const OK = "HTTP/1.1 200 OK";
const EVENT_STREAM = "content-type: text/event-stream";
const GZIP_ENCODING = "transfer-encoding: gzip";

describe("the answer of a backend server", () => {
  it("has a marked end with a length, with chunked coding or without a body", async () => {
    const marked = [
      await readAnswer(["HTTP/1.0 200 OK", "content-length: 2"], "ab"),
      await readAnswer(
        [OK, GZIP_ENCODING, "transfer-encoding: chunked"],
        "2\r\nab\r\n0\r\n\r\n",
      ),
    ];
    for (const answer of marked) {
      assert.equal(answer, { isEndMarked: true, text: "ab", error: 0 });
    }
    const empty = [
      await readAnswer([OK], "", closeGracefully, "HEAD"),
      await readAnswer(["HTTP/1.1 204 No Content"], ""),
    ];
    for (const answer of empty) {
      assert.equal(answer, { isEndMarked: true, text: "", error: 0 });
    }
  });

  it("has no marked end if it ends with its connection", async () => {
    const unmarked = [
      await readAnswer([OK], "ab"),
      await readAnswer(["HTTP/1.0 200 OK"], "ab"),
      await readAnswer([OK, GZIP_ENCODING], "ab"),
      await readAnswer(["HTTP/1.1 103 Early Hints", "", OK], "ab"),
      await readAnswer(["HTTP/1.1 500 Failed"], "ab"),
    ];
    for (const answer of unmarked) {
      assert.equal(answer, { isEndMarked: false, text: "ab", error: 0 });
    }
  });

  // Guards against a truncated answer that passes as complete: if a connection
  // is reset inside an answer that ends with it, the client library reports a
  // normal end.
  it("fails if its connection is reset", async () => {
    for (const head of [[OK], [OK, GZIP_ENCODING]]) {
      const { error } = await readAnswer(head, "ab", reset);
      assert.is(error, 1216);
    }
  });

  // Guards against a complete stream that is reported as broken: after the
  // closing event nothing is missing, whatever the HTTP framing announced.
  it("is a complete stream after its closing event, however its connection ends", async () => {
    const body = "data: a\n\ndata: [DONE]\n\n";
    for (const end of [closeGracefully, reset]) {
      const answer = await readAnswer([OK, EVENT_STREAM], body, end);
      assert.equal(answer, { isEndMarked: true, text: "a", error: 0 });
      const framed = [OK, EVENT_STREAM, "content-length: 99"];
      assert.equal(await readAnswer(framed, body, end), answer);
    }
  });

  it("is a broken stream if it ends before its closing event", async () => {
    for (const end of [closeGracefully, reset]) {
      const { error } = await readAnswer(
        [OK, EVENT_STREAM],
        "data: a\n\n",
        end,
      );
      assert.is(error, 1216);
    }
  });
});

// Guards against a run that is given up for its engine's silence long before
// its deadline, though nothing else can finish it.
describe("a silent backend server", () => {
  it("is waited for until the deadline of its run", () => {
    const hourMs = 3_600_000;
    assert.equal(idleTimeouts(hourMs), {
      headersTimeout: hourMs,
      bodyTimeout: hourMs,
    });
  });
});
