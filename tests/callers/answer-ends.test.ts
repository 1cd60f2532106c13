import { createServer } from "node:http";
import * as assert from "uvu/assert";
import { createAnswerWriter } from "../../src/daemon/entry/answer-writer.js";
import type { AnswerWriter } from "../../src/daemon/entry/caller-request.js";
import { listen } from "../../src/daemon/listening.js";
import { createDeferred } from "../../src/internal.js";
import {
  answerRaw,
  formatEvent,
  type Behaviour,
} from "../../standins/signing-runner.js";
import { EntrySite, rawRequest } from "../platform/entry-site.js";
import { readMessage } from "../support/complete-message.js";
import { describe, it } from "../support/describe.js";
import { RawConnection } from "../support/raw-connection.js";
import { pause } from "../support/wait.js";
import { createLimits } from "./test-server.js";

const TIMEOUT_MS = 4000;
/** Long enough for the first part of an answer to reach the caller, ms. */
const FIRST_PART_MS = 100;
const HELD_BACK_BYTES = 1024;
const HTTP_VERSIONS = ["1.1", "1.0"] as const;

/** An answer that stops in the middle until it is continued. */
interface HalfAnswer extends AsyncDisposable {
  readonly caller: RawConnection;
  /** Lets the answer continue to its end. */
  readonly continue: () => void;
}

/** What the caller has must not pass for an answer; at the end, all of it must. */
async function assertEndIsTold(
  answer: HalfAnswer,
  body: string,
): Promise<void> {
  const { caller } = answer;
  await pause(FIRST_PART_MS);
  assert.not.ok(readMessage(caller.text).isComplete, "before its end");
  answer.continue();
  const isComplete = (): boolean => readMessage(caller.text).isComplete;
  assert.ok(await caller.until(isComplete, TIMEOUT_MS), "at its end");
  const { status, body: received } = readMessage(caller.text);
  assert.equal([status, received], [200, body]);
}

interface RunnerAnswer {
  readonly name: string;
  readonly path: string;
  readonly head: string;
  readonly parts: readonly [string, string];
  readonly body: string;
  /** The runner closes the connection after the answer. */
  readonly closes: boolean;
}

const EVENTS = [formatEvent(1), formatEvent(2)] as const;
const STREAM_HEAD = "content-type: text/event-stream\r\n";
const CHUNKS_HEAD = "transfer-encoding: chunked\r\n";
const chunk = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;

const runnerAnswers: readonly RunnerAnswer[] = [
  {
    name: "a stream that ends with its connection",
    path: "/stream/a",
    head: STREAM_HEAD,
    parts: EVENTS,
    body: EVENTS.join(""),
    closes: true,
  },
  {
    name: "a stream in chunks",
    path: "/stream/a",
    head: STREAM_HEAD + CHUNKS_HEAD,
    parts: [chunk(EVENTS[0]), `${chunk(EVENTS[1])}0\r\n\r\n`],
    body: EVENTS.join(""),
    closes: false,
  },
  {
    name: "a body that ends with its connection",
    path: "/once/a",
    head: "",
    parts: ["half of", " all"],
    body: "half of all",
    closes: true,
  },
  {
    name: "a body with its length",
    path: "/once/a",
    head: "content-length: 11\r\n",
    parts: ["half of", " all"],
    body: "half of all",
    closes: false,
  },
];

function answerInHalves(
  { head, parts, closes }: RunnerAnswer,
  isContinued: Promise<unknown>,
): Behaviour {
  return async (exchange) => {
    const { socket } = exchange.request;
    answerRaw(head, parts[0])(exchange);
    await isContinued;
    socket.write(parts[1]);
    if (closes) socket.end();
  };
}

async function openDirectAnswer(
  answer: RunnerAnswer,
  version: string,
): Promise<HalfAnswer> {
  const { promise, resolve } = createDeferred<undefined>();
  const site = await EntrySite.createWithRunners(
    answerInHalves(answer, promise),
  );
  const caller = await RawConnection.create(site.entry.addresses.callers);
  caller.send(rawRequest(answer.path, { version }));
  return {
    caller,
    continue: () => {
      resolve(undefined);
    },
    async [Symbol.asyncDispose]() {
      caller[Symbol.dispose]();
      await site[Symbol.asyncDispose]();
    },
  };
}

interface WrittenAnswer {
  readonly name: string;
  readonly streamed: boolean;
  readonly isEndMarked: boolean;
  readonly parts: readonly [string, string];
  readonly body: string;
}

const half = "a".repeat(HELD_BACK_BYTES / 4);
const large = "a".repeat(2 * HELD_BACK_BYTES);
const events = "data: one\n\ndata: two\n\n";

const writtenAnswers: readonly WrittenAnswer[] = [true, false].flatMap(
  (isEndMarked) => {
    const mark = isEndMarked ? "with" : "without";
    return [
      {
        name: `a stream ${mark} a marked end`,
        streamed: true,
        isEndMarked,
        parts: ["one", "two"] as const,
        body: isEndMarked ? `${events}data: [DONE]\n\n` : events,
      },
      {
        name: `a body ${mark} a marked end`,
        streamed: false,
        isEndMarked,
        parts: [half, half] as const,
        body: half + half,
      },
      {
        name: `a body over the buffer limit ${mark} a marked end`,
        streamed: false,
        isEndMarked,
        parts: [large, half] as const,
        body: large + half,
      },
    ];
  },
);

interface WritingServer extends AsyncDisposable {
  readonly address: string;
  readonly writer: Promise<AnswerWriter>;
}

async function startWritingServer(streamed: boolean): Promise<WritingServer> {
  const { promise, resolve } = createDeferred<AnswerWriter>();
  const limits = createLimits({ answerBytes: HELD_BACK_BYTES });
  const server = createServer((_request, response) => {
    resolve(createAnswerWriter(response, { request: "r", streamed, limits }));
  });
  const listening = await listen(server, { host: "127.0.0.1", port: 0 });
  return {
    address: listening.address,
    writer: promise,
    [Symbol.asyncDispose]: () => listening[Symbol.asyncDispose](),
  };
}

async function openWrittenAnswer(
  { streamed, isEndMarked, parts }: WrittenAnswer,
  version: string,
): Promise<HalfAnswer & { readonly writer: AnswerWriter }> {
  const server = await startWritingServer(streamed);
  const caller = await RawConnection.create(server.address);
  caller.send(`GET / HTTP/${version}\r\nhost: entry\r\n\r\n`);
  const writer = await server.writer;
  writer.head(200, [], isEndMarked);
  writer.piece(Buffer.from(parts[0]));
  return {
    caller,
    writer,
    continue: () => {
      writer.piece(Buffer.from(parts[1]));
      writer.end(isEndMarked);
    },
    async [Symbol.asyncDispose]() {
      caller[Symbol.dispose]();
      await server[Symbol.asyncDispose]();
    },
  };
}

// Guards against truncated answers that look complete when the process ends:
// the kernel then closes its connections in order.
describe("the end of an answer is told by its framing", () => {
  for (const version of HTTP_VERSIONS) {
    describe(`to a caller of HTTP/${version}`, () => {
      for (const runnerAnswer of runnerAnswers) {
        it(`on the direct path: ${runnerAnswer.name}`, async () => {
          await using answer = await openDirectAnswer(runnerAnswer, version);
          await assertEndIsTold(answer, runnerAnswer.body);
        });
      }

      for (const writtenAnswer of writtenAnswers) {
        const isHeldBack = version === "1.0";
        if (isHeldBack && writtenAnswer.body.length > HELD_BACK_BYTES) continue;
        it(`on the path with sessions: ${writtenAnswer.name}`, async () => {
          await using answer = await openWrittenAnswer(writtenAnswer, version);
          await assertEndIsTold(answer, writtenAnswer.body);
        });
      }
    });
  }

  // Guards against an answer without framing for want of memory: a caller of
  // HTTP/1.0 gets an error, and the work is cancelled.
  for (const streamed of [true, false]) {
    const kind = streamed ? "a stream" : "a body";
    it(`${kind} too large to be held back for HTTP/1.0 is an error`, async () => {
      const parts = [large, half] as const;
      const tooLarge = { streamed, isEndMarked: true, parts };
      await using answer = await openWrittenAnswer(
        { ...tooLarge, name: kind, body: large + half },
        "1.0",
      );
      answer.continue();
      const { caller, writer } = answer;
      assert.ok(await caller.until(() => caller.isEnded, TIMEOUT_MS));
      const { status, isComplete, body } = readMessage(caller.text);
      assert.equal([status, isComplete], [502, true]);
      assert.match(body, /answer-not-held/);
      assert.ok(writer.signal.aborted);
    });
  }
});
