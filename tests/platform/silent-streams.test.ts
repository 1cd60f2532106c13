import * as assert from "uvu/assert";
import { headerNames } from "../../platform/names.js";
import { formatEvent, type Behaviour } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";
import { EntrySite, type CallerAnswer } from "./entry-site.js";

/** Longer than a stream may be silent if another runner can continue it, ms. */
const PREEMPTION_MS = 1700;
/** Longer than an event may take if another runner can continue it, ms. */
const SPLIT_EVENT_MS = 2300;
const EVENT_COUNT = 4;
const EVENT_INTERVAL_MS = 50;
const EVENTS = Array.from({ length: EVENT_COUNT }, (_, index) =>
  formatEvent(index + 1),
);

const isBeside = (path: string | undefined): boolean =>
  path?.endsWith("/beside") ?? false;

/** Shows that the service progresses while another stream is silent. */
const streamBeside: Behaviour = async ({ response, signatureHeaders }) => {
  response.writeHead(200, signatureHeaders);
  for (let id = 1; id <= 80 && !response.destroyed; id += 1) {
    response.write(formatEvent(id));
    await pause(EVENT_INTERVAL_MS);
  }
  response.end();
};

/** Sends two events, is silent, and sends the others. */
const preempt: Behaviour = async ({ request, response, signatureHeaders }) => {
  const lastEventId = Number(request.headers[headerNames.lastEventId] ?? 0);
  response.writeHead(200, signatureHeaders);
  response.write(EVENTS.slice(lastEventId, lastEventId + 2).join(""));
  await pause(PREEMPTION_MS);
  response.end(EVENTS.slice(lastEventId + 2).join(""));
};

/** Is silent inside the second event, whose rest comes in two parts. */
const preemptInsideEvent: Behaviour = async ({
  response,
  signatureHeaders,
}) => {
  const [first, second, ...others] = EVENTS;
  response.writeHead(200, signatureHeaders);
  response.write(first + second.slice(0, 5));
  await pause(SPLIT_EVENT_MS);
  response.write(second.slice(5, 10));
  await pause(EVENT_INTERVAL_MS);
  response.end(second.slice(10) + others.join(""));
};

/** Breaks off after the first event. */
const breakOff: Behaviour = async ({ request, response, signatureHeaders }) => {
  response.writeHead(200, signatureHeaders);
  response.write(EVENTS[0]);
  await pause(EVENT_INTERVAL_MS);
  request.socket.resetAndDestroy();
};

const besideStreams =
  (behave: Behaviour): Behaviour =>
  (exchange) =>
    isBeside(exchange.request.url) ? streamBeside(exchange) : behave(exchange);

async function callBesideOther(
  site: EntrySite,
  path: string,
): Promise<CallerAnswer> {
  const options = {
    method: "POST",
    headers: { [headerNames.deadlineMs]: "5500" },
  };
  const beside = site.call({ ...options, path: "/stream/beside" });
  const answer = await site.call({ ...options, path });
  await beside;
  return answer;
}

function assertWhole({ body, isComplete }: CallerAnswer): void {
  assert.is(body, EVENTS.join(""));
  assert.ok(isComplete);
}

// Guards against streams that are broken off for their runner's silence though
// it works on them and no other one can.
describe("a stream whose runner is silent for a while is waited for", () => {
  it("when it may not be repeated", async () => {
    const behave = besideStreams(preempt);
    await using site = await EntrySite.createWithRunners(behave, behave);
    assertWhole(await callBesideOther(site, "/live/a"));
    const calls = site.runners.flatMap(({ receivedRequests }) =>
      receivedRequests.filter(({ target }) => !isBeside(target)),
    );
    assert.is(calls.length, 1);
  });

  it("when it may not be repeated and the silence splits an event", async () => {
    const behave = besideStreams(preemptInsideEvent);
    await using site = await EntrySite.createWithRunners(behave, behave);
    assertWhole(await callBesideOther(site, "/live/a"));
  });

  it("when no other runner is there", async () => {
    const behave = besideStreams(preempt);
    await using site = await EntrySite.createWithRunners(behave);
    assertWhole(await callBesideOther(site, "/stream/a"));
  });

  it("when its attempts are used up", async () => {
    let attempts = 0;
    const behave = besideStreams((exchange) => {
      attempts += 1;
      return attempts === 1 ? breakOff(exchange) : preempt(exchange);
    });
    await using site = await EntrySite.createWithRunners(
      behave,
      behave,
      behave,
    );
    assertWhole(await callBesideOther(site, "/stream/a"));
    assert.is(attempts, 2);
  });

  it("while the entry shuts down", async () => {
    const behave = besideStreams(preempt);
    await using site = await EntrySite.createWithRunners(behave, behave);
    const call = callBesideOther(site, "/live/a");
    await pause(EVENT_INTERVAL_MS);
    await site.entry.leave();
    assertWhole(await call);
  });
});
