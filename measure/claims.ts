/**
 * `npm run measure -- claims [--seconds N]`: appends to the log and time to a
 * claim against the rate of calls and the number of entries, over real sockets
 * to the log stand-in. The baseline is one append for each claim.
 */
import { parseArgs } from "node:util";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidV7 } from "uuid";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { ClaimTasks, claimTaskList } from "../src/daemon/entry/claim-tasks.js";
import { createContext } from "../src/daemon/process-context.js";
import { parseSettings } from "../src/daemon/settings.js";
import { LogClient } from "../src/platform/log-client.js";
import { startLog, type LogStandIn } from "../standins/log.js";

const ENTRY_COUNTS = [1, 3, 6];
const CALL_RATES = [50, 200, 800];
const APPENDS_PER_SECOND = 50;
const SLOT_MS = 5;
const WAIT_MS = 2_000;
const MICROSECONDS = 1000;

interface Row {
  readonly entries: number;
  readonly callsPerSecond: number;
  readonly claimed: number;
  readonly refused: number;
  readonly appendsPerSecond: number;
  /** What one append for each claim would have taken. */
  readonly baselineAppendsPerSecond: number;
  readonly readsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

export async function measure(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: { seconds: { type: "string", default: "3" } },
  });
  const seconds = Number(values.seconds);
  const rows: Row[] = [];
  for (const entries of ENTRY_COUNTS) {
    for (const rate of CALL_RATES) {
      const row = await measureOne(entries, rate, seconds);
      rows.push(row);
      console.log(describe(row));
    }
  }
  console.log(JSON.stringify({ measurement: "claims", rows }));
}

async function measureOne(
  entries: number,
  callsPerSecond: number,
  seconds: number,
): Promise<Row> {
  await using log = await startLog();
  const stop = new AbortController();
  const tasks = Array.from({ length: entries }, (_, index) =>
    startEntry(`entry-${index}`, log, stop.signal),
  );
  await sleep(100);
  const histogram = buildHistogram();
  const outcome = { claimed: 0, refused: 0 };
  const before = { appends: log.appends(), reads: log.reads() };
  const startedAt = performance.now();
  const total = callsPerSecond * seconds;
  for (let sent = 0; sent < total;) {
    const elapsedMs = performance.now() - startedAt;
    const due = Math.min(
      total,
      Math.floor((elapsedMs / 1000) * callsPerSecond),
    );
    for (; sent < due; sent += 1) {
      callOnce(tasks[sent % entries], histogram, outcome);
    }
    await sleep(SLOT_MS);
  }
  const lastedS = (performance.now() - startedAt) / 1000;
  const appends = log.appends() - before.appends;
  const reads = log.reads() - before.reads;
  await sleep(WAIT_MS + 200);
  stop.abort();
  return {
    entries,
    callsPerSecond,
    ...outcome,
    appendsPerSecond: rounded(appends / lastedS),
    baselineAppendsPerSecond: callsPerSecond,
    readsPerSecond: rounded(reads / lastedS),
    p50Ms: rounded(histogram.getValueAtPercentile(50) / MICROSECONDS),
    p99Ms: rounded(histogram.getValueAtPercentile(99) / MICROSECONDS),
  };
}

function startEntry(
  name: string,
  log: LogStandIn,
  signal: AbortSignal,
): ClaimTasks {
  const platform = { log: log.address, vmList: log.address };
  const settings = { role: "entry", name, dataCentre: "lac", platform };
  const text = JSON.stringify({ ...settings, logLevel: "error" });
  const tasks = ClaimTasks.create({
    context: createContext(parseSettings(text, name)),
    log: LogClient.create(log.address),
    appendsPerSecond: APPENDS_PER_SECOND,
    ask: () => Promise.resolve({ kind: "unreachable" }),
  });
  for (const { run } of claimTaskList(tasks)) void run(signal);
  return tasks;
}

function callOnce(
  tasks: ClaimTasks,
  histogram: Histogram,
  outcome: { claimed: number; refused: number },
): void {
  const call = uuidV7();
  const startedAt = performance.now();
  const giveUpAtMs = Date.now() + WAIT_MS;
  const identity = { account: "crews", key: uuidV7(), isOwnKey: false };
  const choice = { agent: "runner-1", agentIncarnation: "i1" };
  tasks.begin(
    { call, ...identity, giveUpAtMs },
    () => choice,
    (step) => {
      if (step.kind === "dispatch") {
        const tookMs = performance.now() - startedAt;
        histogram.recordValue(Math.round(tookMs * MICROSECONDS));
        outcome.claimed += 1;
      } else outcome.refused += 1;
      tasks.end(call);
    },
  );
}

function rounded(value: number): number {
  return Math.round(value * 10) / 10;
}

function describe(row: Row): string {
  const { entries, callsPerSecond, appendsPerSecond, readsPerSecond } = row;
  const { claimed, refused, p50Ms, p99Ms } = row;
  return (
    `${entries} entries, ${callsPerSecond} calls/s: ` +
    `${appendsPerSecond} appends/s, ${readsPerSecond} reads/s, ` +
    `claimed ${claimed}, refused ${refused}, ` +
    `p50 ${p50Ms} ms, p99 ${p99Ms} ms`
  );
}
