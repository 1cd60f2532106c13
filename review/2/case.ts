/**
 * An entry is killed while it passes on streams that have neither a length nor
 * chunks. No stream of which events are missing may look complete.
 */
import { Agent } from "node:http";
import {
  answerRaw,
  formatEvent,
  type Behaviour,
} from "../../standins/signing-runner.js";
import { send, type ClientResult } from "../support/client.js";
import { EntryProcess, sleepMs } from "../support/entry-process.js";
import { RULE_BROKEN, RULE_HELD, runCase } from "../support/main.js";
import {
  CREDENTIAL,
  HOSTNAME,
  MODELS,
  Platform,
  STREAM_PATH,
} from "../support/platform.js";

const ENTRIES = 5;
const RUNNERS = 12;
const CLIENTS = 40;
const EVENTS = 26;
const EVENT_PAUSE_MS = 70;
const TRAFFIC_MS = 4000;
const DEADLINE_MS = 8000;

/** Events until the end of the connection, which ends the answer. */
const streamUnframed: Behaviour = async ({ request, signatureHeaders }) => {
  const { socket } = request;
  const after = Number(request.headers["last-event-id"] ?? 0);
  const head = "content-type: text/event-stream\r\nconnection: close\r\n";
  answerRaw(head, "")({ request, signatureHeaders });
  for (let id = after + 1; id <= EVENTS && !socket.destroyed; id += 1) {
    await sleepMs(EVENT_PAUSE_MS);
    socket.write(formatEvent(id));
  }
  socket.end();
};

/** TROUBLE=0 leaves out the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

await runCase("review/2", hasTrouble, async (record) => {
  await using platform = await Platform.create(record);
  platform.configure(1);
  for (let index = 0; index < RUNNERS; index += 1) {
    const id = `i-model-${index}`;
    const behave = streamUnframed;
    await platform.addRunner({ id, service: MODELS, slots: 8, behave });
  }
  const entries: EntryProcess[] = [];
  try {
    for (let index = 1; index <= ENTRIES; index += 1) {
      const name = `edge-${index}`;
      const store = platform.store.address;
      entries.push(await EntryProcess.start({ name, store, record }));
    }
    for (const entry of entries) await entry.waitUntilReady();
    const results: ClientResult[] = [];
    let isOver = false;
    let attempts = 0;
    const runClient = async (entry: EntryProcess): Promise<void> => {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      while (!isOver) {
        attempts += 1;
        const attemptId = `a${attempts}`;
        record.add(`client sends ${attemptId} to ${entry.name}`);
        const result = await send({
          port: entry.callersPort,
          hostname: HOSTNAME,
          attemptId,
          method: "POST",
          path: `${STREAM_PATH}2f`,
          credential: CREDENTIAL,
          deadlineMs: DEADLINE_MS,
          body: "draft",
          agent,
        });
        results.push(result);
        const { status, isComplete, error } = result;
        const end = isComplete ? "complete" : `broken off (${error})`;
        const events = eventsOf(result);
        record.add(
          `client of ${attemptId} gets ${status}, ${events} events, ${end}`,
        );
        if (status === 0) await sleepMs(100);
      }
      agent.destroy();
    };
    const clients = Array.from({ length: CLIENTS }, async (_, index) => {
      // Clients don't start in step.
      await sleepMs((index * EVENTS * EVENT_PAUSE_MS) / CLIENTS);
      await runClient(entries[index % ENTRIES]);
    });
    await sleepMs(TRAFFIC_MS);
    if (hasTrouble) {
      record.add("platform: SIGKILL of edge-1");
      entries[0].signal("SIGKILL");
      await sleepMs(500);
    }
    isOver = true;
    await Promise.all(clients);
    const successes = results.filter(({ status }) => status === 200);
    const truncated = successes.filter(
      (result) => result.isComplete && eventsOf(result) < EVENTS,
    );
    record.add(`${successes.length} of ${results.length} answers are 200`);
    record.add(
      `${truncated.length} streams look complete and aren't ` +
        "(MIXED and ORDER allow none)",
    );
    return truncated.length > 0 ? RULE_BROKEN : RULE_HELD;
  } finally {
    for (const entry of entries) await entry.stop();
  }
});

function eventsOf({ body }: ClientResult): number {
  return body.split("\n\n").length - 1;
}
