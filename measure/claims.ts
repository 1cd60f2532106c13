/**
 * `npm run measure -- claims [--seconds N]`: log appends and time until a claim
 * is won, by call rate and number of entries, over real sockets to the log
 * stand-in. The baseline is one append for each claim.
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
const SEND_INTERVAL_MS = 5;
const CLAIM_TIMEOUT_MS = 2_000;
const MICROSECONDS_PER_MS = 1000;

interface ClaimsRow {
  readonly entries: number;
  readonly callsPerSecond: number;
  readonly claimed: number;
  readonly refused: number;
  readonly appendsPerSecond: number;
  /** Append rate if each claim were appended on its own. */
  readonly baselineAppendsPerSecond: number;
  readonly readsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

export async function measureClaims(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: { seconds: { type: "string", default: "3" } },
  });
  const seconds = Number(values.seconds);
  const rows: ClaimsRow[] = [];
  for (const entries of ENTRY_COUNTS) {
    for (const rate of CALL_RATES) {
      const row = await measureCase(entries, rate, seconds);
      rows.push(row);
      console.log(formatRow(row));
    }
  }
  console.log(JSON.stringify({ measurement: "claims", rows }));
}

async function measureCase(
  entries: number,
  callsPerSecond: number,
  seconds: number,
): Promise<ClaimsRow> {
  await using log = await startLog();
  const stop = new AbortController();
  const tasks = Array.from({ length: entries }, (_, index) =>
    startEntry(`entry-${index}`, log, stop.signal),
  );
  await sleep(100);
  const histogram = buildHistogram();
  const counts = { claimed: 0, refused: 0 };
  const before = { appends: log.appends(), reads: log.reads() };
  const startedAtMs = performance.now();
  const total = callsPerSecond * seconds;
  for (let sentCalls = 0; sentCalls < total;) {
    const elapsedMs = performance.now() - startedAtMs;
    const dueCalls = Math.min(
      total,
      Math.floor((elapsedMs / 1000) * callsPerSecond),
    );
    for (; sentCalls < dueCalls; sentCalls += 1) {
      startCall(tasks[sentCalls % entries], histogram, counts);
    }
    await sleep(SEND_INTERVAL_MS);
  }
  const elapsedSeconds = (performance.now() - startedAtMs) / 1000;
  const appends = log.appends() - before.appends;
  const reads = log.reads() - before.reads;
  await sleep(CLAIM_TIMEOUT_MS + 200);
  stop.abort();
  return {
    entries,
    callsPerSecond,
    ...counts,
    appendsPerSecond: roundToTenth(appends / elapsedSeconds),
    baselineAppendsPerSecond: callsPerSecond,
    readsPerSecond: roundToTenth(reads / elapsedSeconds),
    p50Ms: roundToTenth(
      histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    ),
    p99Ms: roundToTenth(
      histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    ),
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

function startCall(
  tasks: ClaimTasks,
  histogram: Histogram,
  counts: { claimed: number; refused: number },
): void {
  const call = uuidV7();
  const startedAtMs = performance.now();
  const giveUpAtMs = Date.now() + CLAIM_TIMEOUT_MS;
  const identity = { account: "crews", key: uuidV7(), isOwnKey: false };
  const choice = { agent: "runner-1", agentIncarnation: "i1" };
  tasks.begin(
    { call, ...identity, giveUpAtMs },
    () => choice,
    (step) => {
      if (step.kind === "dispatch") {
        const elapsedMs = performance.now() - startedAtMs;
        histogram.recordValue(Math.round(elapsedMs * MICROSECONDS_PER_MS));
        counts.claimed += 1;
      } else counts.refused += 1;
      tasks.end(call);
    },
  );
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}

function formatRow(row: ClaimsRow): string {
  const { entries, callsPerSecond, appendsPerSecond, readsPerSecond } = row;
  const { claimed, refused, p50Ms, p99Ms } = row;
  return (
    `${entries} entries, ${callsPerSecond} calls/s: ` +
    `${appendsPerSecond} appends/s, ${readsPerSecond} reads/s, ` +
    `claimed ${claimed}, refused ${refused}, ` +
    `p50 ${p50Ms} ms, p99 ${p99Ms} ms`
  );
}
