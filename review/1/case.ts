/**
 * An entry stands still for 3.6 s and wakes. No request that it then answers
 * 408, 421, 429 or 503 may have run or run later.
 */
import { answerAfter } from "../support/behaviours.js";
import { sendFromAfar } from "../support/distant-client.js";
import { EntryProcess, sleepMs } from "../support/entry-process.js";
import { RULE_BROKEN, RULE_HELD, runCase } from "../support/main.js";
import {
  ALERT_PATH,
  ALERTS,
  Platform,
  alertRoute,
} from "../support/platform.js";

const ENTRIES = 2;
const ROUNDS = 16;
/** Requests a second, each on a new connection, over all entries. */
const REQUESTS_PER_SECOND = 65;
const FREEZE_MS = 3600;
const PAUSE_MS = 2600;
/** Of the sheet's requests that may not be repeated. */
const DEADLINE_MS = 4037;
const WORK_MS = 61;
/** Statuses that promise that the request hasn't run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

interface Promised {
  readonly attemptId: string;
  readonly status: number;
}

/** TROUBLE=0 leaves out the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

await runCase("review/1", hasTrouble, async (record) => {
  await using platform = await Platform.create(record);
  const routes = [alertRoute({ timeout_ms: DEADLINE_MS })];
  platform.configure(1, { routes });
  for (let index = 0; index < 5; index += 1) {
    const id = `i-record-${index}`;
    const behave = answerAfter(WORK_MS);
    await platform.addRunner({ id, service: ALERTS, slots: 6, behave });
  }
  const entries: EntryProcess[] = [];
  try {
    for (let index = 1; index <= ENTRIES; index += 1) {
      const name = `edge-${index}`;
      const store = platform.store.address;
      entries.push(await EntryProcess.start({ name, store, record }));
    }
    for (const entry of entries) await entry.waitUntilReady();
    const promised: Promised[] = [];
    const open = new Set<Promise<void>>();
    const sendOrder = async (order: number): Promise<void> => {
      // A promise that it hasn't run lets the client try once more.
      for (let attempt = 0; attempt < 2; attempt += 1) {
        const entry = entries[(order + attempt) % ENTRIES];
        const attemptId = `order-${order}-attempt-${attempt + 1}`;
        record.add(`client sends ${attemptId} to ${entry.name}`);
        const status = await sendFromAfar({
          port: entry.callersPort,
          path: `${ALERT_PATH}2f`,
          attemptId,
          deadlineMs: DEADLINE_MS,
          body: `order ${order}`,
        });
        record.add(`client of ${attemptId} gets ${status}`);
        if (!PROMISES.has(status)) return;
        promised.push({ attemptId, status });
      }
    };
    let orders = 0;
    const traffic = setInterval(() => {
      orders += 1;
      const sent = sendOrder(orders);
      open.add(sent);
      void sent.finally(() => open.delete(sent));
    }, 1000 / REQUESTS_PER_SECOND);
    const broken = (): readonly Promised[] =>
      promised.filter(({ attemptId }) => platform.runsOf(attemptId).length > 0);
    await sleepMs(PAUSE_MS);
    for (let round = 1; round <= ROUNDS; round += 1) {
      const entry = entries[round % ENTRIES];
      if (hasTrouble) {
        record.add(`${entry.name} freezes`);
        entry.signal("SIGSTOP");
      }
      await sleepMs(FREEZE_MS);
      if (hasTrouble) {
        record.add(`${entry.name} wakes`);
        entry.signal("SIGCONT");
      }
      await sleepMs(PAUSE_MS);
      if (broken().length > 0) break;
    }
    clearInterval(traffic);
    await Promise.all(open);
    for (const { attemptId, status } of broken()) {
      const order = attemptId.split("-attempt")[0];
      const runs = platform.runs.filter((run) =>
        run.attemptId.startsWith(`${order}-attempt`),
      );
      record.add(
        `${attemptId} was answered ${status} and has run; ` +
          `${order} has run ${runs.length} times`,
      );
    }
    record.add(`${orders} orders, ${promised.length} answered with a promise`);
    record.add(`${broken().length} promises broken (REFUSED allows none)`);
    return broken().length > 0 ? RULE_BROKEN : RULE_HELD;
  } finally {
    for (const entry of entries) {
      entry.signal("SIGCONT");
      await entry.stop();
    }
  }
});
