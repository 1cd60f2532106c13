import * as assert from "uvu/assert";
import { headerNames, paths, topics } from "../../platform/names.js";
import {
  answerUntilClose,
  answerWith,
  eventOf,
  refuseAsFull,
  resetUnanswered,
  staySilent,
  streamEvents,
  type Behaviour,
  type Exchange,
} from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { CREDENTIAL, EntrySite } from "./entry-site.js";

const EVENTS = 6;

function wholeStream(): string {
  return Array.from({ length: EVENTS }, (_, index) => eventOf(index + 1)).join(
    "",
  );
}

/** A stream of two seconds, an event each 50 ms. */
async function trickle({ response, signed }: Exchange): Promise<void> {
  response.writeHead(200, signed);
  for (let id = 1; id <= 40; id += 1) {
    response.write(eventOf(id));
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
  response.end();
}

/** Breaks off in the fourth event; a resumed stream has no framing. */
function resumeUntilClose(total: number): Behaviour {
  return (exchange) => {
    const after = Number(exchange.request.headers[headerNames.lastEventId]);
    if (!(after > 0)) return streamEvents(total, 3)(exchange);
    const ids = Array.from(
      { length: total - after },
      (_, at) => after + at + 1,
    );
    return answerUntilClose(ids.map(eventOf).join(""))(exchange);
  };
}

function arrivalsOf(site: EntrySite): number {
  return site.runners.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
}

describe("direct path of an entry", () => {
  describe("before it knows the site", () => {
    it("isn't ready and says that nothing was run", async () => {
      await using site = await EntrySite.create();
      assert.is(await site.readiness(), 503);
      const { status, headers } = await site.call({ path: "/often/a" });
      assert.is(status, 503);
      assert.ok(Number(headers["retry-after"]) > 0);
    });
  });

  describe("passes on", () => {
    it("method, path, query and body unchanged, and the answer as it came", async () => {
      await using site = await EntrySite.serving(answerWith("done", 201));
      const answer = await site.call({
        path: "/once/a%20b?c=1&c=2",
        method: "POST",
        body: "text",
        headers: { "x-other": "kept" },
      });
      assert.is(answer.status, 201);
      assert.is(answer.body, "done");
      assert.ok(answer.headers[headerNames.signature] !== undefined);
      const [arrival] = site.runners[0].arrivals;
      assert.is(arrival.method, "POST");
      assert.is(arrival.target, "/once/a%20b?c=1&c=2");
      assert.is(arrival.body, "text");
      assert.is(arrival.headers["x-other"], "kept");
    });

    it("the account's name, never the key, whatever the caller claims", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      await site.call({
        path: "/often/a",
        headers: {
          [headerNames.account]: "somebody-else",
          [headerNames.expectedRunner]: "r9",
        },
      });
      const { headers } = site.runners[0].arrivals[0];
      assert.is(headers[headerNames.account], "account-1");
      assert.is(headers[headerNames.credential], undefined);
      assert.is(headers[headerNames.expectedRunner], "r0");
    });

    it("what is left of the caller's time, never more", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      await site.call({
        path: "/often/a",
        headers: { [headerNames.deadlineMs]: "900" },
      });
      const { headers } = site.runners[0].arrivals[0];
      const leftMs = Number(headers[headerNames.deadlineMs]);
      assert.ok(leftMs > 0 && leftMs <= 900, String(leftMs));
    });
  });

  describe("refuses", () => {
    it("unknown paths, unknown keys and bodies over the limit", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      const unknown = await site.call({ path: "/nowhere/" });
      const stranger = await site.call({
        path: "/often/a",
        headers: { [headerNames.credential]: "wrong" },
      });
      const large = await site.call({
        path: "/once/a",
        method: "POST",
        body: "x".repeat(1001),
      });
      assert.equal(
        [unknown.status, stranger.status, large.status],
        [404, 401, 413],
      );
      assert.is(arrivalsOf(site), 0);
    });

    it("a key that was taken away, on a connection that is open", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      assert.is((await site.call({ path: "/often/a" })).status, 200);
      const tenants = [{ name: "account-1", api_keys: ["key-two"] }];
      site.configure({ version: 2, tenants });
      await site.until(
        async () => (await site.call({ path: "/often/a" })).status === 401,
      );
      assert.not.equal(CREDENTIAL, "key-two");
    });

    it("never goes back to an older configuration", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      site.configure({
        version: 3,
        tenants: [{ name: "a", api_keys: ["new"] }],
      });
      await site.until(
        async () => (await site.call({ path: "/often/a" })).status === 401,
      );
      const reads = (): number => site.store.calls.get(paths.read) ?? 0;
      const before = reads();
      site.configure({ version: 2 });
      await site.until(() => reads() > before + 2);
      assert.is((await site.call({ path: "/often/a" })).status, 401);
    });
  });

  describe("when a runner fails", () => {
    it("runs a request that may not be repeated at most once", async () => {
      // The runner takes the order and the connection is reset before the
      // answer. It may have run: a second one could do it twice, so the caller
      // learns that nobody knows.
      await using site = await EntrySite.serving(
        resetUnanswered,
        resetUnanswered,
      );
      const { status } = await site.call({ path: "/once/a", method: "POST" });
      assert.is(status, 504);
      assert.is(arrivalsOf(site), 1);
    });

    it("tries another one that has not refused", async () => {
      await using site = await EntrySite.serving(
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

    it("says not run, and when to come back, when all have refused", async () => {
      await using site = await EntrySite.serving(refuseAsFull, refuseAsFull);
      const { status, headers } = await site.call({
        path: "/once/a",
        method: "POST",
      });
      assert.is(status, 503);
      assert.ok(Number(headers["retry-after"]) > 0);
    });

    it("goes round one that can't be reached", async () => {
      // A runner has crashed and its registration stands for some seconds:
      // its port refuses connections. Nothing was sent, so any request may go
      // to another runner, and the entry must survive it.
      await using site = await EntrySite.serving(
        answerWith("ok"),
        answerWith("ok"),
      );
      await site.runners[0][Symbol.asyncDispose]();
      for (let round = 0; round < 6; round += 1) {
        const { status } = await site.call({ path: "/once/a", method: "POST" });
        assert.is(status, 200);
      }
    });

    it("says not run when none can be reached", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      await site.runners[0][Symbol.asyncDispose]();
      const { status } = await site.call({ path: "/once/a", method: "POST" });
      assert.is(status, 503);
    });

    it("repeats an idempotent request at another runner", async () => {
      await using site = await EntrySite.serving(
        resetUnanswered,
        answerWith("ok"),
      );
      for (let round = 0; round < 4; round += 1) {
        assert.is((await site.call({ path: "/often/a" })).status, 200);
      }
    });

    it("answers when the caller's time is over", async () => {
      await using site = await EntrySite.serving(staySilent);
      const { status } = await site.call({
        path: "/once/a",
        method: "POST",
        headers: { [headerNames.deadlineMs]: "150" },
      });
      assert.is(status, 504);
    });

    it("lets the runner go when the caller leaves", async () => {
      // The caller closes its connection: the runner must not go on working
      // for nobody, and learns of it by its own connection's end.
      await using site = await EntrySite.serving(staySilent);
      const leaving = new AbortController();
      const call = site.call({ path: "/often/a", signal: leaving.signal });
      await site.until(() => arrivalsOf(site) === 1);
      leaving.abort();
      await call.catch(() => undefined);
      await site.until(() => site.runners[0].arrivals[0].isAbandoned);
    });
  });

  describe("never gives a caller", () => {
    it("an answer to somebody else's request", async () => {
      // The runner sends a second answer to the one before; it lies where the
      // next request's answer is due.
      await using site = await EntrySite.serving(({ response, signed }) => {
        const other = { ...signed, [headerNames.attemptId]: "somebody-else" };
        response.writeHead(200, other).end("theirs");
      });
      const { status, body } = await site.call({ path: "/once/a" });
      assert.is(status, 504);
      assert.not.ok(body.includes("theirs"));
    });

    it("half an answer as a whole one", async () => {
      // The answer has no length and ends with its connection. The connection
      // is reset on the way, and what came so far would pass for all of it.
      await using site = await EntrySite.serving(
        async ({ request, signed }) => {
          const head = Object.entries(signed).map(
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

    it("more certainty of an answer's end than its runner gave", async () => {
      // The answer has no length, and its runner's process ends inside it. The
      // connection closes in good order, which is also how such an answer ends
      // when it is whole. With a length of our own, half of it would pass for
      // all; closed the same way, the caller knows as much as we do.
      await using site = await EntrySite.serving(answerUntilClose("half of"));
      const { status, headers, body } = await site.call({ path: "/once/a" });
      assert.is(status, 200);
      assert.is(body, "half of");
      assert.is(headers["content-length"], undefined);
      assert.is(headers["transfer-encoding"], undefined);
      assert.is(headers.connection, "close");
    });

    it("a stream's end that its runner didn't mark", async () => {
      // A stream without framing: after the last event that came the connection
      // closes, because the stream is over or because the runner is.
      await using site = await EntrySite.serving(
        answerUntilClose(eventOf(1) + eventOf(2)),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, eventOf(1) + eventOf(2));
      assert.is(answer.headers["transfer-encoding"], undefined);
      assert.is(answer.headers.connection, "close");
    });

    it("a mark of the end when only the first part of a stream was marked", async () => {
      // The first runner's connection breaks in its fourth event; the second
      // one goes on without framing. The caller has been promised a marked end,
      // and gets every event but no mark that nobody vouches for.
      await using site = await EntrySite.serving(
        resumeUntilClose(EVENTS),
        resumeUntilClose(EVENTS),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, wholeStream());
      assert.not.ok(answer.isWhole);
    });

    it("a success that no runner has signed", async () => {
      await using site = await EntrySite.serving(({ response, signed }) => {
        const attempt = signed[headerNames.attemptId];
        response.writeHead(200, { [headerNames.attemptId]: attempt }).end("?");
      });
      assert.is((await site.call({ path: "/once/a" })).status, 504);
    });
  });

  describe("streams", () => {
    it("pass whole", async () => {
      await using site = await EntrySite.serving(streamEvents(EVENTS));
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, wholeStream());
      assert.ok(answer.isWhole);
    });

    it("go on at another runner, every event once", async () => {
      // The first runner is cut off inside its fourth event. The caller must
      // not see that part, and gets the event whole from the next runner.
      await using site = await EntrySite.serving(
        streamEvents(EVENTS, 3),
        streamEvents(EVENTS),
      );
      for (let round = 0; round < 4; round += 1) {
        const answer = await site.call({ path: "/stream/a", method: "POST" });
        assert.is(answer.body, wholeStream());
        assert.ok(answer.isWhole);
      }
    });

    it("end visibly broken when they can't go on", async () => {
      await using site = await EntrySite.serving(
        streamEvents(EVENTS, 2),
        streamEvents(EVENTS, 2),
      );
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.not.ok(answer.isWhole);
      assert.is(answer.body, eventOf(1) + eventOf(2));
    });

    it("go on elsewhere when their connection falls silent", async () => {
      // Something on the way loses track of the connection after two events:
      // no reset comes, ever. Other streams of the service go on, so it isn't
      // the group; the caller would give up after two seconds.
      const behave: Behaviour = (exchange) => {
        const { request, response, signed } = exchange;
        if (request.url === "/stream/beside") return trickle(exchange);
        const isResumed = request.headers[headerNames.lastEventId];
        if (isResumed !== undefined) return streamEvents(EVENTS)(exchange);
        response.writeHead(200, signed);
        response.write(eventOf(1));
        response.write(eventOf(2));
        return undefined;
      };
      await using site = await EntrySite.serving(behave, behave);
      const headers = { [headerNames.deadlineMs]: "5000" };
      const method = "POST";
      const beside = site.call({ path: "/stream/beside", method, headers });
      const answer = await site.call({ path: "/stream/a", method, headers });
      assert.is(answer.body, wholeStream());
      assert.ok(answer.isWhole);
      assert.ok((await beside).isWhole);
    });

    it("leave a slow runner, every event once", async () => {
      // One rank turns slow. It makes each step with its whole group, so all
      // streams are late for as long as it has work of its own. The planner
      // notes it, and the stream that runs there goes on at another runner.
      const behave: Behaviour = (exchange) =>
        exchange.request.headers[headerNames.lastEventId] === undefined
          ? trickle(exchange)
          : streamEvents(40)(exchange);
      await using site = await EntrySite.serving(behave, behave);
      const call = site.call({
        path: "/stream/a",
        method: "POST",
        headers: { [headerNames.deadlineMs]: "5000" },
      });
      await site.until(() => arrivalsOf(site) === 1);
      const slow = site.runners.find(({ arrivals }) => arrivals.length === 1);
      site.store.put(topics.pace, slow?.address ?? "", { slowness: 5 });
      const answer = await call;
      assert.ok(answer.isWhole);
      const ids = answer.body.matchAll(/^id: (\d+)$/gm);
      const expected = Array.from({ length: 40 }, (_, index) => index + 1);
      assert.equal(
        Array.from(ids, ([, id]) => Number(id)),
        expected,
      );
      assert.equal(
        site.runners.map(({ arrivals }) => arrivals.length),
        [1, 1],
      );
      assert.ok(slow?.arrivals[0].isAbandoned);
    });

    it("begin after the event that the caller has", async () => {
      await using site = await EntrySite.serving(streamEvents(EVENTS));
      const answer = await site.call({
        path: "/stream/a",
        method: "POST",
        headers: { [headerNames.lastEventId]: "4" },
      });
      assert.is(answer.body, eventOf(5) + eventOf(6));
    });

    it("stop at events that are not theirs", async () => {
      await using site = await EntrySite.serving(({ response, signed }) => {
        response.writeHead(200, signed);
        response.write(eventOf(1));
        response.end(eventOf(3));
      });
      const answer = await site.call({ path: "/stream/a", method: "POST" });
      assert.is(answer.body, eventOf(1));
      assert.not.ok(answer.isWhole);
    });
  });

  describe("metrics", () => {
    it("tell how requests and attempts ended", async () => {
      await using site = await EntrySite.serving(refuseAsFull);
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
    it("sends nothing more to a leaving runner", async () => {
      await using site = await EntrySite.serving(
        answerWith("a"),
        answerWith("b"),
      );
      const [leaving] = site.runners;
      site.register(leaving, "draining");
      await site.until(() => site.entry.runnerCount === 1);
      const before = leaving.arrivals.length;
      for (let round = 0; round < 6; round += 1) {
        assert.is((await site.call({ path: "/often/a" })).body, "b");
      }
      assert.is(leaving.arrivals.length, before);
    });

    it("takes the runner that registered last for the one at an address", async () => {
      // A runner's VM lost power. It is back under a new id at its old address,
      // and its old registration hasn't lapsed yet. A new entry reads both in
      // one page, ordered by id; sent to the old one, a request is refused as
      // misdirected and its caller has lost an attempt.
      await using site = await EntrySite.serving(answerWith("ok"));
      const [runner] = site.runners;
      const { address } = runner;
      site.register({ id: "z-before", address }, "ready");
      site.register({ id: runner.id, address }, "ready");
      site.store.forgetHistory(topics.register);
      const pages = (): number => site.store.calls.get(paths.newest) ?? 0;
      const before = pages();
      await site.until(() => pages() > before);
      await site.until(() => site.entry.runnerCount === 1);
      const answer = await site.call({ path: "/once/a" });
      assert.is(answer.status, 200);
      assert.is(runner.misdirected, 0);
    });

    it("asks a runner no more that another one has replaced", async () => {
      // The runner at the address has changed and isn't registered yet. Each
      // request that goes there costs its caller one of two attempts.
      await using site = await EntrySite.serving(answerWith("ok"));
      const [runner] = site.runners;
      site.register({ id: "r9", address: runner.address }, "ready");
      await site.until(() => site.entry.runnerCount === 1);
      const other = await site.addRunner(answerWith("ok"));
      await site.until(() => site.entry.runnerCount === 2);
      for (let round = 0; round < 6; round += 1) {
        assert.is((await site.call({ path: "/once/a" })).status, 200);
      }
      assert.ok(runner.misdirected <= 1);
      assert.is(other.arrivals.length, 6);
    });

    it("goes on with what it knows while the store is away", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      site.store.mood = "refusing";
      await site.until(() => (site.store.calls.get(paths.read) ?? 0) > 6);
      assert.is((await site.call({ path: "/often/a" })).status, 200);
      assert.is(await site.readiness(), 200);
    });
  });

  describe("leaving", () => {
    it("finishes what runs, and takes no new work afterwards", async () => {
      // A request is at a runner when the process is told to stop. Cutting it
      // would lose an order that was drafted already.
      await using site = await EntrySite.serving(
        async ({ response, signed }) => {
          await new Promise((resolve) => {
            setTimeout(resolve, 300);
          });
          response.writeHead(200, signed).end("late but whole");
        },
      );
      const call = site.call({ path: "/once/a", method: "POST" });
      await site.until(() => arrivalsOf(site) === 1);
      const left = site.entry.leave();
      assert.is(await site.readiness(), 503);
      const answer = await call;
      assert.is(answer.body, "late but whole");
      assert.is(answer.headers.connection, "close");
      await left;
      const refused = await site
        .call({ path: "/often/a" })
        .catch(() => "closed");
      assert.is(refused, "closed");
    });
  });
});
