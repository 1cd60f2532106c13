import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";
import * as assert from "uvu/assert";
import { RunnerClient } from "../../src/daemon/agent/runner-client.js";
import { toFailure, type Call } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const DEADLINE_MS = 2000;
const RESET_AFTER_MS = 40;

type Ending = (socket: Socket) => void;

const closeInOrder: Ending = (socket) => {
  socket.end();
};

const reset: Ending = (socket) => {
  setTimeout(() => {
    socket.resetAndDestroy();
  }, RESET_AFTER_MS);
};

function callOf(method: string): Call {
  return {
    request: "request-1",
    account: "account-1",
    method,
    path: "/",
    headers: [],
    body: new Uint8Array(0),
    streamed: false,
    repeatable: false,
    priority: 0,
    costTokens: 1,
    idempotencyKey: "",
    model: "",
  };
}

interface Read {
  readonly isEndMarked: boolean | undefined;
  readonly text: string;
  /** Error number; 0 when the answer came to its end. */
  readonly error: number;
}

/** What the agent reads of these bytes, and of the connection's end. */
async function read(
  head: readonly string[],
  body: string,
  end = closeInOrder,
  method = "GET",
): Promise<Read> {
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
  const work = { run: "run", call: callOf(method), deadlineMs: DEADLINE_MS };
  const signal = AbortSignal.timeout(DEADLINE_MS);
  let error = 0;
  try {
    await client.start(work, sink, signal);
  } catch (problem) {
    error = toFailure(problem, 1215).number;
  }
  server.close();
  return { isEndMarked, text, error };
}

const OK = "HTTP/1.1 200 OK";
const EVENTS = "content-type: text/event-stream";
const CODED = "transfer-encoding: gzip";

describe("the answer of a backend server", () => {
  it("marks its end by a length or chunks, and where it has no body", async () => {
    const marked = [
      await read(["HTTP/1.0 200 OK", "content-length: 2"], "ab"),
      await read(
        [OK, CODED, "transfer-encoding: chunked"],
        "2\r\nab\r\n0\r\n\r\n",
      ),
    ];
    for (const seen of marked) {
      assert.equal(seen, { isEndMarked: true, text: "ab", error: 0 });
    }
    const empty = [
      await read([OK], "", closeInOrder, "HEAD"),
      await read(["HTTP/1.1 204 No Content"], ""),
    ];
    for (const seen of empty) {
      assert.equal(seen, { isEndMarked: true, text: "", error: 0 });
    }
  });

  it("marks no end that is its connection's", async () => {
    const unmarked = [
      await read([OK], "ab"),
      await read(["HTTP/1.0 200 OK"], "ab"),
      await read([OK, CODED], "ab"),
      await read(["HTTP/1.1 103 Early Hints", "", OK], "ab"),
      await read(["HTTP/1.1 500 Failed"], "ab"),
    ];
    for (const seen of unmarked) {
      assert.equal(seen, { isEndMarked: false, text: "ab", error: 0 });
    }
  });

  // The caller is told that its answer broke off. The connection is reset
  // inside an answer that ends with it; the client library calls that its end.
  it("has failed when its connection is reset", async () => {
    for (const head of [[OK], [OK, CODED]]) {
      const { error } = await read(head, "ab", reset);
      assert.is(error, 1216);
    }
  });

  // The caller gets the whole stream. Its closing event came before the
  // connection broke, so nothing is missing, however HTTP framed it.
  it("is a whole stream after its closing event, however it ends", async () => {
    const body = "data: a\n\ndata: [DONE]\n\n";
    for (const end of [closeInOrder, reset]) {
      const seen = await read([OK, EVENTS], body, end);
      assert.equal(seen, { isEndMarked: true, text: "a", error: 0 });
      const framed = [OK, EVENTS, "content-length: 99"];
      assert.equal(await read(framed, body, end), seen);
    }
  });

  it("is a broken stream before its closing event", async () => {
    for (const end of [closeInOrder, reset]) {
      const { error } = await read([OK, EVENTS], "data: a\n\n", end);
      assert.is(error, 1216);
    }
  });
});
