import * as assert from "uvu/assert";
import { headerNames, topics } from "../../platform/names.js";
import {
  answerWith,
  formatEvent,
  refuseAsFull,
  neverRespond,
  streamEvents,
  type Behaviour,
  type SigningRunner,
} from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite, type CallerAnswer } from "./entry-site.js";

const INITIAL_HEARTBEAT = 500;
const DEADLINE_MS = 6000;
/** Well before the deadline: the register is read every 0.7 s. */
const PROMPT_ANSWER_MS = 2500;
const EVENT_COUNT = 6;

/**
 * Start time and heartbeat of a new incarnation's first registration: its
 * heartbeat counts from 1 again.
 */
function createNewIncarnation(): Readonly<Record<string, unknown>> {
  return { born: Date.now(), sequence: 1 };
}

/** Starts an entry with one runner that has been running for a minute. */
async function createSite(behave: Behaviour): Promise<EntrySite> {
  const site = await EntrySite.create();
  site.configure({});
  await site.addRunner(behave, {
    born: Date.now() - 60_000,
    sequence: INITIAL_HEARTBEAT,
  });
  await site.waitUntil(() => site.entry.runnerCount === 1);
  await site.waitUntil(async () => (await site.readiness()) === 200);
  return site;
}

interface TimedAnswer {
  readonly answer: CallerAnswer;
  readonly durationMs: number;
}

async function callTimed(site: EntrySite, path: string): Promise<TimedAnswer> {
  const startedAtMs = performance.now();
  const answer = await site.call({
    path,
    method: "POST",
    headers: { [headerNames.deadlineMs]: String(DEADLINE_MS) },
  });
  return { answer, durationMs: performance.now() - startedAtMs };
}

/** Sends two events, then nothing more. */
const stallAfterTwoEvents: Behaviour = ({ response, signatureHeaders }) => {
  response.writeHead(200, signatureHeaders);
  response.write(formatEvent(1));
  response.write(formatEvent(2));
};

async function waitForArrival({
  receivedRequests,
}: SigningRunner): Promise<void> {
  while (receivedRequests.length === 0) await pause(5);
}

describe("direct path, when a runner restarts under the same id", () => {
  describe("at another address", () => {
    it("uses the new incarnation, whatever its heartbeat", async () => {
      // The runner's VM is lost after 500 heartbeats. The runner restarts on
      // another VM and counts from 1 again. If the lower count made its
      // registration look outdated, requests would go to the lost VM for
      // minutes.
      await using site = await createSite(answerWith("before"));
      const [earlier] = site.runners;
      await site.restartAtNewAddress(
        earlier,
        answerWith("after"),
        createNewIncarnation(),
      );
      await earlier[Symbol.asyncDispose]();
      await site.waitUntil(
        async () => (await site.call({ path: "/often/a" })).body === "after",
      );
    });

    it("uses the new incarnation of a runner that was draining", async () => {
      await using site = await createSite(answerWith("before"));
      const [earlier] = site.runners;
      const fields = { born: Date.now() - 60_000, sequence: 501 };
      site.register(earlier, "draining", fields);
      await site.waitUntil(() => site.entry.runnerCount === 0);
      await site.restartAtNewAddress(
        earlier,
        answerWith("after"),
        createNewIncarnation(),
      );
      await site.waitUntil(() => site.entry.runnerCount === 1);
      const { answer } = await callTimed(site, "/once/a");
      assert.is(answer.body, "after");
    });

    it("retries an idempotent request immediately", async () => {
      // The VM loses power: its connections fall silent without a reset.
      // Without the new registration the request would wait for its deadline.
      await using site = await createSite(neverRespond);
      const [earlier] = site.runners;
      const call = callTimed(site, "/often/a");
      await waitForArrival(earlier);
      await site.restartAtNewAddress(
        earlier,
        answerWith("after"),
        createNewIncarnation(),
      );
      const { answer, durationMs } = await call;
      assert.equal([answer.status, answer.body], [200, "after"]);
      assert.ok(durationMs < PROMPT_ANSWER_MS, String(durationMs));
    });

    it("reports the outcome of a non-idempotent request as unknown immediately", async () => {
      await using site = await createSite(neverRespond);
      const [earlier] = site.runners;
      const call = callTimed(site, "/once/a");
      await waitForArrival(earlier);
      const next = await site.restartAtNewAddress(
        earlier,
        answerWith("after"),
        createNewIncarnation(),
      );
      const { answer, durationMs } = await call;
      assert.is(answer.status, 504);
      assert.ok(durationMs < PROMPT_ANSWER_MS, String(durationMs));
      assert.is(next.receivedRequests.length, 0);
    });

    it("resumes a stream with every event delivered once", async () => {
      // Silence alone doesn't make the entry resume the stream elsewhere, since
      // no other stream of the service shows that the service is working; the
      // caller would give up after two seconds.
      await using site = await createSite(stallAfterTwoEvents);
      const [earlier] = site.runners;
      const call = callTimed(site, "/stream/a");
      await waitForArrival(earlier);
      await site.restartAtNewAddress(
        earlier,
        streamEvents(EVENT_COUNT),
        createNewIncarnation(),
      );
      const { answer, durationMs } = await call;
      const events = Array.from({ length: EVENT_COUNT }, (_, index) =>
        formatEvent(index + 1),
      );
      assert.is(answer.body, events.join(""));
      assert.ok(answer.isComplete);
      assert.ok(durationMs < PROMPT_ANSWER_MS, String(durationMs));
    });

    it("doesn't take a truncated response of the old incarnation for a complete one", async () => {
      // The response has no length and ends with its connection. The runner's
      // VM is lost inside the body, and the entry itself closes the connection
      // once the new incarnation is known: the runner never ended the response.
      await using site = await createSite(({ request, signatureHeaders }) => {
        const head = Object.entries(signatureHeaders).map(
          ([name, value]) => `${name}: ${value}\r\n`,
        );
        const text = `HTTP/1.1 200 OK\r\n${head.join("")}\r\nhalf of`;
        request.socket.write(text);
      });
      const [earlier] = site.runners;
      const call = callTimed(site, "/once/a");
      await waitForArrival(earlier);
      await pause(50);
      await site.restartAtNewAddress(
        earlier,
        answerWith("after"),
        createNewIncarnation(),
      );
      const { answer, durationMs } = await call;
      assert.is(answer.status, 504);
      assert.not.ok(answer.body.includes("half of"));
      assert.ok(durationMs < PROMPT_ANSWER_MS, String(durationMs));
    });

    it("answers immediately when the old registration was removed before", async () => {
      await using site = await createSite(neverRespond);
      const [earlier] = site.runners;
      const call = callTimed(site, "/once/a");
      await waitForArrival(earlier);
      site.store.appendTombstone(topics.register, earlier.id);
      await site.waitUntil(() => site.entry.runnerCount === 0);
      await site.restartAtNewAddress(
        earlier,
        answerWith("after"),
        createNewIncarnation(),
      );
      const { answer, durationMs } = await call;
      assert.is(answer.status, 504);
      assert.ok(durationMs < PROMPT_ANSWER_MS, String(durationMs));
    });
  });

  describe("at the same address", () => {
    it("aborts requests to the old incarnation, not those to the new one", async () => {
      // One request is pending on a connection to the old incarnation. Another
      // one reaches the new incarnation before its registration is read.
      await using site = await createSite(neverRespond);
      const [runner] = site.runners;
      const before = callTimed(site, "/once/before");
      await waitForArrival(runner);
      await pause(20);
      const newIncarnation = createNewIncarnation();
      await pause(20);
      runner.behaviour = async (exchange) => {
        await pause(1500);
        await answerWith("after")(exchange);
      };
      const after = callTimed(site, "/once/after");
      await site.waitUntil(() => runner.receivedRequests.length === 2);
      site.register(runner, "ready", newIncarnation);
      const failedAnswer = await before;
      assert.is(failedAnswer.answer.status, 504);
      assert.ok(
        failedAnswer.durationMs < PROMPT_ANSWER_MS,
        String(failedAnswer.durationMs),
      );
      assert.equal(
        [(await after).answer.status, (await after).answer.body],
        [200, "after"],
      );
    });

    it("retries an idempotent request at the new incarnation of the only runner", async () => {
      await using site = await createSite(neverRespond);
      const [runner] = site.runners;
      const call = callTimed(site, "/often/a");
      await waitForArrival(runner);
      await pause(20);
      runner.behaviour = answerWith("after");
      site.register(runner, "ready", createNewIncarnation());
      const { answer, durationMs } = await call;
      assert.equal([answer.status, answer.body], [200, "after"]);
      assert.ok(durationMs < PROMPT_ANSWER_MS, String(durationMs));
    });

    it("opens new connections", async () => {
      // A request may be in flight on an old connection at that moment; an
      // idempotent one is answered all the same.
      await using site = await createSite(answerWith("before"));
      const [runner] = site.runners;
      const ports = new Set<number | undefined>();
      const sendRequest = async (): Promise<void> => {
        runner.behaviour = (exchange) => {
          ports.add(exchange.request.socket.remotePort);
          return answerWith("ok")(exchange);
        };
        assert.is((await callTimed(site, "/often/a")).answer.status, 200);
      };
      await sendRequest();
      await sendRequest();
      assert.is(ports.size, 1);
      site.register(runner, "ready", { ...createNewIncarnation(), slots: 9 });
      await site.waitUntil(async () => {
        await sendRequest();
        return ports.size === 2;
      });
    });

    it("doesn't count refusals of the old incarnation against the new one", async () => {
      // The runner refuses everything until it crashes. Without the reset of
      // its health, callers would be held back for the recovery time of an
      // unavailable service.
      await using site = await createSite(refuseAsFull);
      const [runner] = site.runners;
      for (let round = 0; round < 4; round += 1) {
        await site.call({ path: "/once/a" });
        await pause(130);
      }
      runner.behaviour = answerWith("after");
      site.register(runner, "ready", createNewIncarnation());
      const { answer, durationMs } = await callTimed(site, "/often/a");
      assert.is(answer.body, "after");
      assert.ok(durationMs < PROMPT_ANSWER_MS, String(durationMs));
    });

    it("doesn't apply the slowness of the old incarnation to the new one", async () => {
      // The old incarnation is noted as slow for several seconds. The new one
      // is as fast as the other runner and gets its share of requests.
      await using site = await createSite(answerWith("first"));
      const [runner] = site.runners;
      await site.addRunner(answerWith("second"));
      await site.waitUntil(() => site.entry.runnerCount === 2);
      const born = Date.now() - 60_000;
      const note = { slowness: 5, startedAtMs: born };
      site.store.put(topics.pace, runner.address, note);
      const bodies = async (): Promise<readonly string[]> => {
        const calls = Array.from({ length: 8 }, () =>
          site.call({ path: "/often/a" }),
        );
        return (await Promise.all(calls)).map(({ body }) => body);
      };
      await site.waitUntil(async () => !(await bodies()).includes("first"));
      site.register(runner, "ready", createNewIncarnation());
      await site.waitUntil(async () => (await bodies()).includes("first"));
    });
  });

  it("ignores a late record of the old incarnation", async () => {
    await using site = await createSite(answerWith("before"));
    const [earlier] = site.runners;
    const newIncarnation = createNewIncarnation();
    await site.restartAtNewAddress(
      earlier,
      answerWith("after"),
      newIncarnation,
    );
    await site.waitUntil(
      async () => (await site.call({ path: "/often/a" })).body === "after",
    );
    const fields = { born: Date.now() - 60_000, sequence: 501 };
    site.register(earlier, "draining", fields);
    site.register(earlier, "ready", fields);
    await pause(1500);
    assert.is((await callTimed(site, "/often/a")).answer.body, "after");
  });
});
