/**
 * Engines run out of memory for a moment while an entry drains after its
 * SIGTERM: each preempts its newest stream, which goes on 1.5 s later. Every
 * stream has to reach its client whole.
 */
import { Agent } from "node:http";
import {
  formatEvent,
  type Behaviour,
  type Exchange,
} from "../../standins/signing-runner.js";
import { send, type ClientResult } from "../support/client.js";
import { BOUNDS, EntryProcess, sleepMs } from "../support/entry-process.js";
import { RULE_BROKEN, RULE_HELD, runCase } from "../support/main.js";
import {
  CREDENTIAL,
  HOSTNAME,
  MODELS,
  Platform,
  STREAM_PATH,
  streamRoute,
} from "../support/platform.js";

const RUNNERS = 12;
/** Runners whose memory runs out. */
const PREEMPTING_RUNNERS = 3;
const CLIENTS = 36;
const EVENTS = 26;
const EVENT_PAUSE_MS = 70;
/** Clients abandon a stream only after a gap of 2 s. */
const PREEMPTED_MS = 1500;
const TRAFFIC_MS = 4000;
/** Clients send until then after the SIGTERM, ms. */
const SENDING_MS = 1500;
const DEADLINE_MS = 8000;
/** From the last sixth of the grace period on, cuts are excused. */
const EXCUSED_FROM_MS = (BOUNDS.grace_s * 1000 * 5) / 6;

interface Stream {
  readonly runner: string;
  readonly attemptId: string;
  preemptedUntilMs: number;
}

/** TROUBLE=0 leaves out the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

await runCase("review/5", hasTrouble, async (record) => {
  await using platform = await Platform.create(record);
  platform.configure(1, { routes: [streamRoute({ resumable: false })] });
  /** Running streams, the newest last. */
  const running = new Set<Stream>();
  const stream = (runner: string): Behaviour => {
    return async ({ response, signatureHeaders }: Exchange) => {
      const attemptId = signatureHeaders["apricotdeck-attempt-id"];
      const own: Stream = { runner, attemptId, preemptedUntilMs: 0 };
      running.add(own);
      const type = { "content-type": "text/event-stream" };
      response.writeHead(200, { ...signatureHeaders, ...type });
      for (let id = 1; id <= EVENTS && !response.destroyed; id += 1) {
        await sleepMs(EVENT_PAUSE_MS);
        const heldMs = own.preemptedUntilMs - performance.now();
        if (heldMs > 0) await sleepMs(heldMs);
        response.write(formatEvent(id));
      }
      running.delete(own);
      if (!response.destroyed) response.end();
    };
  };
  for (let index = 0; index < RUNNERS; index += 1) {
    const id = `i-model-${index}`;
    const behave = stream(id);
    await platform.addRunner({ id, service: MODELS, slots: 8, behave });
  }
  const preemptNewest = (): void => {
    for (let index = 0; index < PREEMPTING_RUNNERS; index += 1) {
      const runner = `i-model-${index}`;
      const newest = [...running].findLast((one) => one.runner === runner);
      if (newest === undefined) continue;
      newest.preemptedUntilMs = performance.now() + PREEMPTED_MS;
      record.add(`runner ${runner} preempts ${newest.attemptId}`);
    }
  };
  const name = "edge-lac-hall-1";
  const store = platform.store.address;
  const entry = await EntryProcess.start({ name, store, record });
  try {
    await entry.waitUntilReady();
    const results: ClientResult[] = [];
    let signalledAtMs = Number.POSITIVE_INFINITY;
    let attempts = 0;
    const runClient = async (): Promise<void> => {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      while (performance.now() < signalledAtMs + SENDING_MS) {
        attempts += 1;
        const attemptId = `a${attempts}`;
        record.add(`client sends ${attemptId}`);
        const result = await send({
          port: entry.callersPort,
          hostname: HOSTNAME,
          attemptId,
          method: "POST",
          path: `${STREAM_PATH}2f`,
          credential: CREDENTIAL,
          deadlineMs: DEADLINE_MS,
          body: "order",
          agent,
        });
        results.push(result);
        const { status, isComplete, error } = result;
        const end = isComplete ? "whole" : `cut (${error})`;
        record.add(`client of ${attemptId} gets ${status}, ${end}`);
        if (status === 0) await sleepMs(100);
      }
      agent.destroy();
    };
    const clients = Array.from({ length: CLIENTS }, async (_, index) => {
      // Clients don't start in step.
      await sleepMs((index * EVENTS * EVENT_PAUSE_MS) / CLIENTS);
      await runClient();
    });
    await sleepMs(TRAFFIC_MS);
    signalledAtMs = performance.now();
    record.add("platform: SIGTERM");
    entry.signal("SIGTERM");
    await sleepMs(100);
    if (hasTrouble) preemptNewest();
    await Promise.all(clients);
    while (
      entry.isRunning &&
      performance.now() < signalledAtMs + BOUNDS.grace_s * 1000
    ) {
      await sleepMs(50);
    }
    const lost = results.filter(({ attemptId, isComplete, endedAtMs }) => {
      const wasPassedOn = platform.runsOf(attemptId).length > 0;
      const sinceSignalMs = endedAtMs - signalledAtMs;
      const isCounted = sinceSignalMs >= 0 && sinceSignalMs < EXCUSED_FROM_MS;
      return wasPassedOn && !isComplete && isCounted;
    });
    for (const { attemptId, endedAtMs, sentAtMs, body } of lost) {
      const events = body.split("\n\n").length - 1;
      const ageMs = Math.round(endedAtMs - sentAtMs);
      record.add(`lost: ${attemptId}, ${events} events, after ${ageMs} ms`);
    }
    const served = results.filter(({ isComplete }) => isComplete).length;
    record.add(`${served} of ${results.length} answers whole`);
    record.add(`${lost.length} requests lost (LOST allows none)`);
    return lost.length > 0 ? RULE_BROKEN : RULE_HELD;
  } finally {
    await entry.stop();
  }
});
