import * as assert from "uvu/assert";
import { headerNames, paths, topics } from "../../platform/names.js";
import {
  answerUntilClose,
  answerWith,
  formatEvent,
  refuseAsFull,
  resetUnanswered,
  neverRespond,
  streamEvents,
  type Behaviour,
  type Exchange,
} from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { CREDENTIAL, EntrySite } from "./entry-site.js";

const EVENT_COUNT = 6;

function completeStream(): string {
  return Array.from({ length: EVENT_COUNT }, (_, index) =>
    formatEvent(index + 1),
  ).join("");
}

/** A stream of two seconds, with an event every 50 ms. */
async function streamForTwoSeconds({
  response,
  signatureHeaders,
}: Exchange): Promise<void> {
  response.writeHead(200, signatureHeaders);
  for (let id = 1; id <= 40; id += 1) {
    response.write(formatEvent(id));
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
  response.end();
}

/**
 * Breaks off inside the fourth event. A resumed stream is sent without framing.
 */
function resumeUntilClose(total: number): Behaviour {
  return (exchange) => {
    const after = Number(exchange.request.headers[headerNames.lastEventId]);
    if (!(after > 0)) return streamEvents(total, 3)(exchange);
    const ids = Array.from(
      { length: total - after },
      (_, index) => after + index + 1,
    );
    return answerUntilClose(ids.map(formatEvent).join(""))(exchange);
  };
}

function countArrivals(site: EntrySite): number {
  return site.runners.reduce(
    (sum, { receivedRequests }) => sum + receivedRequests.length,
    0,
  );
}

describe("direct path of an entry", () => {
  describe("before it has a configuration", () => {
    it("isn't ready and reports requests as not run", async () => {
      await using site = await EntrySite.create();
      assert.is(await site.readiness(), 503);
      const { status, headers } = await site.call({ path: "/often/a" });
      assert.is(status, 503);
      assert.ok(Number(headers["retry-after"]) > 0);
    });
  });

  describe("forwards", () => {
    it("method, path, query, body and response unchanged", async () => {
      await using site = await EntrySite.createWithRunners(
        answerWith("done", 201),
      );
      const answer = await site.call({
        path: "/once/a%20b?c=1&c=2",
        method: "POST",
        body: "text",
        headers: { "x-other": "kept" },
      });
      assert.is(answer.status, 201);
      assert.is(answer.body, "done");
      assert.ok(answer.headers[headerNames.signature] !== undefined);
      const [received] = site.runners[0].receivedRequests;
      assert.is(received.method, "POST");
      assert.is(received.target, "/once/a%20b?c=1&c=2");
      assert.is(received.body, "text");
      assert.is(received.headers["x-other"], "kept");
    });

    it("the account's name, but neither its key nor identity headers set by the caller", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      await site.call({
        path: "/often/a",
        headers: {
          [headerNames.account]: "somebody-else",
          [headerNames.expectedRunner]: "r9",
        },
      });
      const { headers } = site.runners[0].receivedRequests[0];
      assert.is(headers[headerNames.account], "account-1");
      assert.is(headers[headerNames.credential], undefined);
      assert.is(headers[headerNames.expectedRunner], "r0");
    });

    it("the remaining time until the deadline", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      await site.call({
        path: "/often/a",
        headers: { [headerNames.deadlineMs]: "900" },
      });
      const { headers } = site.runners[0].receivedRequests[0];
      const leftMs = Number(headers[headerNames.deadlineMs]);
      assert.ok(leftMs > 0 && leftMs <= 900, String(leftMs));
    });
  });

  describe("refuses", () => {
    it("unknown paths, unknown keys and bodies over the limit", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      const unknownPath = await site.call({ path: "/nowhere/" });
      const unknownKey = await site.call({
        path: "/often/a",
        headers: { [headerNames.credential]: "wrong" },
      });
      const largeBody = await site.call({
        path: "/once/a",
        method: "POST",
        body: "x".repeat(1001),
      });
      assert.equal(
        [unknownPath.status, unknownKey.status, largeBody.status],
        [404, 401, 413],
      );
      assert.is(countArrivals(site), 0);
    });

    it("a revoked key on an open connection", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      assert.is((await site.call({ path: "/often/a" })).status, 200);
      const tenants = [{ name: "account-1", api_keys: ["key-two"] }];
      site.configure({ version: 2, tenants });
      await site.waitUntil(
        async () => (await site.call({ path: "/often/a" })).status === 401,
      );
      assert.not.equal(CREDENTIAL, "key-two");
    });

    it("requests by the newest configuration, never by an older one", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      site.configure({
        version: 3,
        tenants: [{ name: "a", api_keys: ["new"] }],
      });
      await site.waitUntil(
        async () => (await site.call({ path: "/often/a" })).status === 401,
      );
      const reads = (): number => site.store.calls.get(paths.read) ?? 0;
      const before = reads();
      site.configure({ version: 2 });
      await site.waitUntil(() => reads() > before + 2);
      assert.is((await site.call({ path: "/often/a" })).status, 401);
    });
  });

  describe("when a runner fails", () => {
    it("runs a non-idempotent request at most once", async () => {
      // The runner accepts the request and resets the connection before the
      // response. The request may have been executed, so the caller is told
      // that the outcome is unknown.
      await using site = await EntrySite.createWithRunners(
        resetUnanswered,
        resetUnanswered,
      );
      const { status } = await site.call({ path: "/once/a", method: "POST" });
      assert.is(status, 504);
      assert.is(countArrivals(site), 1);
    });

    it("tries another one after a refusal", async () => {
      await using site = await EntrySite.createWithRunners(
        refuseAsFull,
        answerWith("ok"),
      );
      for (let round = 0; round < 4; round += 1) {
        const { status, body } = await site.call({
          path: "/once/a",
          method: "POST",
        });
        assert.equal([status, body], [200, "ok"]);
      }
    });

    it("reports not run, with retry-after, when all have refused", async () => {
      await using site = await EntrySite.createWithRunners(
        refuseAsFull,
        refuseAsFull,
      );
      const { status, headers } = await site.call({
        path: "/once/a",
        method: "POST",
      });
      assert.is(status, 503);
      assert.ok(Number(headers["retry-after"]) > 0);
    });

    it("avoids an unreachable runner", async () => {
      // A runner has crashed, and its registration remains for some seconds;
      // its port refuses connections. Nothing was sent, so any request may go
      // to another runner, and the error must not end the entry.
      await using site = await EntrySite.createWithRunners(
        answerWith("ok"),
        answerWith("ok"),
      );
      await site.runners[0][Symbol.asyncDispose]();
      for (let round = 0; round < 6; round += 1) {
        const { status } = await site.call({ path: "/once/a", method: "POST" });
        assert.is(status, 200);
      }
    });

    it("reports not run when none can be reached", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      await site.runners[0][Symbol.asyncDispose]();
      const { status } = await site.call({ path: "/once/a", method: "POST" });
      assert.is(status, 503);
    });

    it("retries an idempotent request at another runner", async () => {
      await using site = await EntrySite.createWithRunners(
        resetUnanswered,
        answerWith("ok"),
      );
      for (let round = 0; round < 4; round += 1) {
        assert.is((await site.call({ path: "/often/a" })).status, 200);
      }
    });

    it("answers when the deadline passes", async () => {
      await using site = await EntrySite.createWithRunners(neverRespond);
      const { status } = await site.call({
        path: "/once/a",
        method: "POST",
        headers: { [headerNames.deadlineMs]: "150" },
      });
      assert.is(status, 504);
    });

    it("closes the runner's connection when the caller disconnects", async () => {
      // The caller closes its connection. The entry closes the connection to
      // the runner, so that the runner stops working on the request.
      await using site = await EntrySite.createWithRunners(neverRespond);
      const disconnect = new AbortController();
      const call = site.call({ path: "/often/a", signal: disconnect.signal });
      await site.waitUntil(() => countArrivals(site) === 1);
      disconnect.abort();
      await call.catch(() => undefined);
      await site.waitUntil(() => site.runners[0].receivedRequests[0].isAborted);
    });
  });

  describe("never passes to a caller", () => {
    it("the response to another request", async () => {
      // The runner sends a second response to the previous request, in the
      // place of the next request's response.
      await using site = await EntrySite.createWithRunners(
        ({ response, signatureHeaders }) => {
          const other = {
            ...signatureHeaders,
            [headerNames.attemptId]: "somebody-else",
          };
          response.writeHead(200, other).end("theirs");
        },
      );
      const { status, body } = await site.call({ path: "/once/a" });
      assert.is(status, 504);
      assert.not.ok(body.includes("theirs"));
    });

    it("a truncated response as a complete one", async () => {
      // The response has no length and ends with its connection. The connection
      // is reset on the way, and the bytes received so far could pass for the
      // whole body.
      await using site = await EntrySite.createWithRunners(
        async ({ request, signatureHeaders }) => {
          const head = Object.entries(signatureHeaders).map(
            ([name, value]) => `${name}: ${value}\r\n`,
          );
          const { socket } = request;
          socket.write(
            `HTTP/1.1 200 OK\r\n${head.join("")}\r\nhalf of the ans`,
          );
          await new Promise((resolve) => {
            setTimeout(resolve, 20);
          });
          socket.resetAndDestroy();
        },
      );
      const { status, body } = await site.call({ path: "/once/a" });
      assert.is(status, 504);
      assert.not.ok(body.includes("half of"));
    });

    it("an end that only the close of its connection tells", async () => {
      // Guards against a truncated response that looks complete when the entry
      // ends. The runner's response has no length and ends with its connection.
      await using site = await EntrySite.createWithRunners(
        answerUntilClose("the answer"),
      );
      const answer = await site.call({ path: "/once/a" });
      assert.is(answer.status, 200);
      assert.is(answer.body, "the answer");
      assert.ok(answer.isComplete);
      assert.is(answer.headers["content-length"], "10");
    });

    it("a stream's end that only the close of its connection tells", async () => {
      // Guards against a truncated stream that looks complete when the entry
      // ends. The runner's stream has no framing and ends with its connection.
      await using site = await EntrySite.createWithRunners(
        answerUntilClose(formatEvent(1) + formatEvent(2)),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, formatEvent(1) + formatEvent(2));
      assert.ok(answer.isComplete);
      assert.is(answer.headers["transfer-encoding"], "chunked");
    });

    it("a framed end when only the first part of the stream had framing", async () => {
      // The first runner's connection breaks in its fourth event; the second
      // runner resumes without framing. The caller has been promised a framed
      // end. It gets every event but no final chunk, since no runner has
      // confirmed the end.
      await using site = await EntrySite.createWithRunners(
        resumeUntilClose(EVENT_COUNT),
        resumeUntilClose(EVENT_COUNT),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, completeStream());
      assert.not.ok(answer.isComplete);
    });

    it("a success that no runner has signed", async () => {
      await using site = await EntrySite.createWithRunners(
        ({ response, signatureHeaders }) => {
          const attempt = signatureHeaders[headerNames.attemptId];
          response
            .writeHead(200, { [headerNames.attemptId]: attempt })
            .end("?");
        },
      );
      assert.is((await site.call({ path: "/once/a" })).status, 504);
    });
  });

  describe("streams", () => {
    it("are forwarded completely", async () => {
      await using site = await EntrySite.createWithRunners(
        streamEvents(EVENT_COUNT),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, completeStream());
      assert.ok(answer.isComplete);
    });

    it("resume at another runner, with every event delivered once", async () => {
      // The first runner breaks off inside its fourth event. The caller must
      // not see that part and gets the whole event from the next runner.
      await using site = await EntrySite.createWithRunners(
        streamEvents(EVENT_COUNT, 3),
        streamEvents(EVENT_COUNT),
      );
      for (let round = 0; round < 4; round += 1) {
        const answer = await site.call({ path: "/stream/a", method: "POST" });
        assert.is(answer.body, completeStream());
        assert.ok(answer.isComplete);
      }
    });

    it("end with an error when they can't be resumed", async () => {
      await using site = await EntrySite.createWithRunners(
        streamEvents(EVENT_COUNT, 2),
        streamEvents(EVENT_COUNT, 2),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.not.ok(answer.isComplete);
      assert.is(answer.body, formatEvent(1) + formatEvent(2));
    });

    it("resume elsewhere when their connection falls silent", async () => {
      // A middlebox loses the connection's state after two events, so that no
      // reset ever arrives. Other streams of the service progress, so the group
      // isn't the cause; the caller would give up after two seconds.
      const behave: Behaviour = (exchange) => {
        const { request, response, signatureHeaders } = exchange;
        if (request.url === "/stream/beside")
          return streamForTwoSeconds(exchange);
        const isResumed = request.headers[headerNames.lastEventId];
        if (isResumed !== undefined) return streamEvents(EVENT_COUNT)(exchange);
        response.writeHead(200, signatureHeaders);
        response.write(formatEvent(1));
        response.write(formatEvent(2));
        return undefined;
      };
      await using site = await EntrySite.createWithRunners(behave, behave);
      const headers = { [headerNames.deadlineMs]: "5000" };
      const method = "POST";
      const otherStream = site.call({
        path: "/stream/beside",
        method,
        headers,
      });
      const answer = await site.call({ path: "/stream/a", method, headers });
      assert.is(answer.body, completeStream());
      assert.ok(answer.isComplete);
      assert.ok((await otherStream).isComplete);
    });

    it("move away from a slow runner, with every event delivered once", async () => {
      // One rank becomes slow. Every step includes the whole group, so all
      // streams are late while that rank has requests of its own. The planner
      // notes the slow rank, and its stream resumes at another runner.
      const behave: Behaviour = (exchange) =>
        exchange.request.headers[headerNames.lastEventId] === undefined
          ? streamForTwoSeconds(exchange)
          : streamEvents(40)(exchange);
      await using site = await EntrySite.createWithRunners(behave, behave);
      const call = site.call({
        path: "/stream/a",
        method: "POST",
        headers: { [headerNames.deadlineMs]: "5000" },
      });
      await site.waitUntil(() => countArrivals(site) === 1);
      const slow = site.runners.find(
        ({ receivedRequests }) => receivedRequests.length === 1,
      );
      site.store.put(topics.pace, slow?.address ?? "", { slowness: 5 });
      const answer = await call;
      assert.ok(answer.isComplete);
      const ids = answer.body.matchAll(/^id: (\d+)$/gm);
      const expected = Array.from({ length: 40 }, (_, index) => index + 1);
      assert.equal(
        Array.from(ids, ([, id]) => Number(id)),
        expected,
      );
      assert.equal(
        site.runners.map(({ receivedRequests }) => receivedRequests.length),
        [1, 1],
      );
      assert.ok(slow?.receivedRequests[0].isAborted);
    });

    it("start after the last event that the caller has received", async () => {
      await using site = await EntrySite.createWithRunners(
        streamEvents(EVENT_COUNT),
      );
      const answer = await site.call({
        path: "/stream/a",
        method: "POST",
        headers: { [headerNames.lastEventId]: "4" },
      });
      assert.is(answer.body, formatEvent(5) + formatEvent(6));
    });

    it("stop at an event out of sequence", async () => {
      await using site = await EntrySite.createWithRunners(
        ({ response, signatureHeaders }) => {
          response.writeHead(200, signatureHeaders);
          response.write(formatEvent(1));
          response.end(formatEvent(3));
        },
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, formatEvent(1));
      assert.not.ok(answer.isComplete);
    });
  });

  describe("metrics", () => {
    it("count refused requests and ended attempts", async () => {
      await using site = await EntrySite.createWithRunners(refuseAsFull);
      await site.call({ path: "/once/a", method: "POST" });
      const response = await fetch(
        `http://${site.entry.addresses.metrics}/metrics`,
      );
      const text = await response.text();
      assert.match(text, /attempts_ended_total\{.*end="not-run".*\} 1/);
      assert.match(text, /admission_refused_total\{.*error="1214".*\} 1/);
    });
  });

  describe("membership", () => {
    it("sends no requests to a draining runner", async () => {
      await using site = await EntrySite.createWithRunners(
        answerWith("a"),
        answerWith("b"),
      );
      const [leaving] = site.runners;
      site.register(leaving, "draining");
      await site.waitUntil(() => site.entry.runnerCount === 1);
      const before = leaving.receivedRequests.length;
      for (let round = 0; round < 6; round += 1) {
        assert.is((await site.call({ path: "/often/a" })).body, "b");
      }
      assert.is(leaving.receivedRequests.length, before);
    });

    it("assigns an address to the runner that registered there last", async () => {
      // A runner's VM lost power. It registers under a new id at its old
      // address before its old registration has expired. A new entry reads both
      // in one page, ordered by id; a request sent to the old id is refused as
      // misdirected and costs the caller an attempt.
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      const [runner] = site.runners;
      const { address } = runner;
      site.register({ id: "z-before", address }, "ready");
      site.register({ id: runner.id, address }, "ready");
      site.store.trimHistory(topics.register);
      const pages = (): number => site.store.calls.get(paths.newest) ?? 0;
      const before = pages();
      await site.waitUntil(() => pages() > before);
      await site.waitUntil(() => site.entry.runnerCount === 1);
      const answer = await site.call({ path: "/once/a" });
      assert.is(answer.status, 200);
      assert.is(runner.misdirected, 0);
    });

    it("stops using a runner that was replaced", async () => {
      // The runner at the address was replaced by one that isn't registered
      // yet. Each request sent there costs its caller one of two attempts.
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      const [runner] = site.runners;
      site.register({ id: "r9", address: runner.address }, "ready");
      await site.waitUntil(() => site.entry.runnerCount === 1);
      const other = await site.addRunner(answerWith("ok"));
      await site.waitUntil(() => site.entry.runnerCount === 2);
      for (let round = 0; round < 6; round += 1) {
        assert.is((await site.call({ path: "/once/a" })).status, 200);
      }
      assert.ok(runner.misdirected <= 1);
      assert.is(other.receivedRequests.length, 6);
    });

    it("keeps serving with its last known state while the store is unavailable", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      site.store.availability = "refusing";
      await site.waitUntil(() => (site.store.calls.get(paths.read) ?? 0) > 6);
      assert.is((await site.call({ path: "/often/a" })).status, 200);
      assert.is(await site.readiness(), 200);
    });
  });

  describe("leaving", () => {
    it("finishes running requests and accepts no new ones afterwards", async () => {
      // A request is being executed when the process is told to stop. Aborting
      // it would lose work that is nearly done.
      await using site = await EntrySite.createWithRunners(
        async ({ response, signatureHeaders }) => {
          await new Promise((resolve) => {
            setTimeout(resolve, 300);
          });
          response.writeHead(200, signatureHeaders).end("late but complete");
        },
      );
      const call = site.call({ path: "/once/a", method: "POST" });
      await site.waitUntil(() => countArrivals(site) === 1);
      const stopped = site.entry.leave();
      assert.is(await site.readiness(), 503);
      const answer = await call;
      assert.is(answer.body, "late but complete");
      assert.is(answer.headers.connection, "close");
      await stopped;
      const refused = await site
        .call({ path: "/often/a" })
        .catch(() => "closed");
      assert.is(refused, "closed");
    });
  });
});
