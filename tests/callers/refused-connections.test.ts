import * as assert from "uvu/assert";
import { headerNames } from "../../platform/names.js";
import { REFUSED_LINGER_MS } from "../../src/daemon/entry/caller-connections.js";
import { answerWith, type Behaviour } from "../../standins/signing-runner.js";
import { EntrySite, rawRequest } from "../platform/entry-site.js";
import { describe, it } from "../support/describe.js";
import { RawConnection } from "../support/raw-connection.js";
import { pause } from "../support/wait.js";
import { completion, startServer, validBody } from "./test-server.js";

/** More than the timeouts of both servers and their checking intervals, ms. */
const REFUSAL_TIMEOUT_MS = 4000;
const HEAD_TIMEOUT_MS = 300;
const WORK_MS = 1500;
/** Long enough for a request on loopback to be passed on, ms. */
const PASS_ON_MS = 150;

interface Path extends AsyncDisposable {
  readonly address: string;
  /** A request that the path serves. */
  readonly request: string;
  /** Number of requests that were passed on. */
  readonly served: () => number;
  /** Begins to shut down. */
  readonly leave: () => void;
}

async function openDirectPath(behave: Behaviour): Promise<Path> {
  const site = await EntrySite.createWithRunners(behave);
  site.configure({
    version: 2,
    limits: {
      max_header_bytes: 4096,
      max_body_bytes: 1000,
      header_timeout_ms: HEAD_TIMEOUT_MS,
      idle_timeout_ms: 15_000,
    },
  });
  // The entry applies a new configuration within its polling interval.
  await pause(PASS_ON_MS);
  const headers = [`${headerNames.deadlineMs}: 6000`];
  return {
    address: site.entry.addresses.callers,
    request: rawRequest("/once/order", { headers, body: "order" }),
    served: () => site.runners[0].receivedRequests.length,
    leave: () => void site.entry.leave(),
    [Symbol.asyncDispose]: () => site[Symbol.asyncDispose](),
  };
}

async function openSessionPath(workMs: number): Promise<Path> {
  const server = await startServer({ receiveMs: HEAD_TIMEOUT_MS }, workMs);
  return {
    address: server.address,
    request: completion(validBody).replace("connection: close\r\n", ""),
    served: () => server.served.length,
    leave: () => {
      server.leave();
    },
    [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
  };
}

const answerLate: Behaviour = async (exchange) => {
  await pause(WORK_MS);
  await answerWith("done")(exchange);
};

interface Refusal {
  readonly name: string;
  /** Sent first; the refusal follows. */
  readonly start: (request: string) => string;
  /** Sent after the refusal; completes the request that was refused. */
  readonly rest: (request: string) => string;
  readonly status: number;
}

const headOf = (request: string): string => request.split("\r\n\r\n", 1)[0];
const chunkedHeadOf = (request: string): string =>
  headOf(request).replace(/content-length: \d+/, "transfer-encoding: chunked");

const refusals: readonly Refusal[] = [
  {
    name: "a connection without a request",
    start: () => "",
    rest: (request) => request,
    status: 408,
  },
  {
    name: "a head that takes too long",
    start: (request) => request.slice(0, 20),
    rest: (request) => request.slice(20),
    status: 408,
  },
  {
    name: "input that isn't HTTP",
    start: () => "\u0016\u0003\u0001hello\r\n\r\n",
    rest: (request) => request,
    status: 400,
  },
  {
    name: "a head over the parser's limit",
    start: (request) => `${headOf(request)}\r\nx: ${"a".repeat(70_000)}`,
    rest: () => "\r\n\r\norder",
    status: 413,
  },
  {
    name: "a request without a host",
    start: (request) => request.replace(/host: .*\r\n/, ""),
    rest: (request) => request,
    status: 400,
  },
  {
    name: "a request without a host, with another one right behind it",
    start: (request) => request.replace(/host: .*\r\n/, "") + request,
    rest: (request) => request,
    status: 400,
  },
  {
    name: "a chunk whose size can't be read",
    start: (request) => `${chunkedHeadOf(request)}\r\n\r\nfive\r\n`,
    rest: () => "5\r\norder\r\n0\r\n\r\n",
    status: 400,
  },
  {
    name: "a declared body over its limit",
    start: (request) =>
      `${headOf(request).replace(/content-length: \d+/, "content-length: 5000")}\r\n\r\n`,
    rest: () => "a".repeat(5000),
    status: 413,
  },
];

/** The own path also limits the time for a body. */
const slowBody: Refusal = {
  name: "a body that takes too long",
  start: (request) => request.slice(0, -2),
  rest: (request) => request.slice(-2),
  status: 408,
};

/** Input behind a request that can be read. */
const laterInputs = [
  ["input that isn't HTTP", "hello\r\n\r\n"],
  ["part of a head", "GET / HT"],
] as const;

interface PathKind {
  readonly name: string;
  readonly open: (workMs: number) => Promise<Path>;
  readonly refusals: readonly Refusal[];
}

const paths: readonly PathKind[] = [
  {
    name: "direct path",
    open: (workMs) =>
      openDirectPath(workMs === 0 ? answerWith("done") : answerLate),
    refusals,
  },
  {
    name: "path with sessions",
    open: openSessionPath,
    refusals: [...refusals, slowBody],
  },
];

describe("after a request was refused unread", () => {
  for (const { name: pathName, open, refusals: pathRefusals } of paths) {
    describe(`on the ${pathName}`, () => {
      for (const { name, start, rest, status } of pathRefusals) {
        // Guards against a request that runs although it was answered with a
        // status that says that it never will, and against a second request
        // that the closing connection takes along.
        it(`nothing runs: ${name}`, async () => {
          await using path = await open(0);
          using caller = await RawConnection.create(path.address);
          caller.send(start(path.request));
          const isRefused = (): boolean => caller.statuses.length > 0;
          assert.ok(await caller.until(isRefused, REFUSAL_TIMEOUT_MS));
          caller.send(rest(path.request));
          caller.send(path.request);
          await pause(PASS_ON_MS);
          assert.is(path.served(), 0);
          assert.equal(caller.statuses, [status]);
        });
      }

      // Guards against requests that run although their connection closes after
      // an earlier answer, so that their own answer can't be sent.
      it("nothing runs behind an answer that closes its connection", async () => {
        await using path = await open(WORK_MS);
        using caller = await RawConnection.create(path.address);
        path.leave();
        caller.send(path.request + path.request);
        assert.ok(await caller.until(() => caller.isEnded, REFUSAL_TIMEOUT_MS));
        const answered = caller.statuses.filter((status) => status === 200);
        assert.is(path.served(), answered.length);
        assert.is(caller.statuses.length, 1);
      });

      // Guards against connections that callers never close and that hold
      // their descriptor for good.
      it("the connection is closed although the caller keeps it open", async () => {
        await using path = await open(0);
        using caller = await RawConnection.create(path.address);
        caller.send("hello\r\n\r\n");
        assert.ok(
          await caller.until(
            () => caller.statuses.length > 0,
            REFUSAL_TIMEOUT_MS,
          ),
        );
        await pause(REFUSED_LINGER_MS + PASS_ON_MS);
        // A write to a closed connection is answered with a reset.
        caller.send("a");
        await pause(PASS_ON_MS);
        caller.send("a");
        assert.ok(await caller.until(() => caller.isClosed, PASS_ON_MS));
      });

      // Guards against a refusal that is written into the answer of an earlier
      // request on the connection, whose caller takes it for the answer.
      for (const [input, later] of laterInputs) {
        it(`an earlier request gets its answer before ${input} is refused`, async () => {
          await using path = await open(WORK_MS);
          using caller = await RawConnection.create(path.address);
          caller.send(path.request + later);
          const hasBoth = (): boolean => caller.statuses.length === 2;
          assert.ok(await caller.until(hasBoth, REFUSAL_TIMEOUT_MS));
          const [first, second] = caller.statuses;
          assert.is(first, 200);
          assert.ok([400, 408].includes(second));
          assert.is(path.served(), 1);
        });
      }
    });
  }
});
