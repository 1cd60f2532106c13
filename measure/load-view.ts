/**
 * `npm run measure -- load-view`: processor time of the planner and of an entry
 * for each datagram of the shared view of load, over UDP on this machine and
 * without sockets.
 */
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { ignoreEvents, ignoreMeasurements } from "../src/internal.js";
import { DatagramFindings } from "../src/loadview/datagram-findings.js";
import { EntryLoadView } from "../src/loadview/entry-load-view.js";
import { LoadHub, WARM_UP_MS } from "../src/loadview/load-hub.js";
import { encodeReport } from "../src/loadview/messages.js";
import type { PriorityLoad } from "../src/loadview/types.js";
import type { PlannedGroup } from "../src/membership/runner-groups.js";
import type { Measurement } from "./measurements.js";
import { fitLine } from "./slopes-fit.js";

const GROUP = "model.one";
const PLANNER = "127.0.0.1:1";
const RUNNERS = 72;
const INTERVAL_MS = 250;
const ENTRY_COUNTS = [20, 80, 160, 320];
/** Datagrams of each size that are measured, after as many to warm up. */
const DATAGRAMS = 20_000;
/** Datagrams that are on their way at the same time. */
const WINDOW = 16;

const findings = DatagramFindings.create({
  emit: ignoreEvents,
  measurements: ignoreMeasurements,
});
const priorities: readonly PriorityLoad[] = [0, 1, 2].map((priority) => ({
  priority,
  running: 7,
  waiting: 3,
  oldestWaitMs: 120,
}));
const runners = Array.from({ length: RUNNERS }, (_, index) => ({
  address: `10.0.0.${index}:8000`,
  running: 7,
  waiting: index,
}));
const group: PlannedGroup = {
  name: GROUP,
  service: "model",
  epoch: 1,
  addresses: runners.map(({ address }) => address),
  planner: PLANNER,
};
const load = { group: GROUP, limit: 10, priorities };

/** A virtual clock on which reports of all entries are evenly spread. */
class Clock {
  nowMs = 1000;
  readonly now = (): number => this.nowMs;
}

function createHub(clock: Clock): LoadHub {
  const hub = LoadHub.create({
    now: clock.now,
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    findings,
    isPlanner: () => true,
  });
  hub.begin(GROUP);
  return hub;
}

function reportOf(index: number, sentAtMs: number): Buffer {
  const sender = { entry: `entry-${index}`, incarnation: index };
  return encodeReport({ ...sender, sentAtMs, intervalMs: INTERVAL_MS, load });
}

/** Processor time of this process in the work, user and system, µs. */
function processorTimeOf(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Lets all entries report in turn; returns the last answer's size, bytes. */
function playReports(
  clock: Clock,
  hub: LoadHub,
  entries: number,
  count: number,
): number {
  let answerBytes = 0;
  for (let passed = 0; passed < count; passed += 1) {
    clock.nowMs += INTERVAL_MS / entries;
    if (passed % entries === 0) hub.observe(runners);
    const report = reportOf(passed % entries, Math.round(clock.nowMs));
    answerBytes = hub.receive(report, "127.0.0.1")?.length ?? 0;
  }
  return answerBytes;
}

/**
 * Processor time of the planner for a report and its answer, its observations
 * of the runners and the encoding of the report included, µs.
 */
function measureHub(entries: number): number {
  const clock = new Clock();
  const hub = createHub(clock);
  const warmUp = (2 * WARM_UP_MS * entries) / INTERVAL_MS;
  playReports(clock, hub, entries, Math.max(DATAGRAMS, warmUp));
  const spent = processorTimeOf(() => {
    playReports(clock, hub, entries, DATAGRAMS);
  });
  return spent / DATAGRAMS;
}

/** Processor time of an entry for an answer, µs. */
function measureEntry(): number {
  const withAnswers = measureExchange(true);
  return Math.max(0, withAnswers - measureExchange(false));
}

function measureExchange(readsAnswers: boolean): number {
  const clock = new Clock();
  const hub = createHub(clock);
  let answer: Buffer | undefined;
  const view = EntryLoadView.create({
    now: clock.now,
    random: Math.random,
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
    findings,
    name: "entry-0",
    incarnation: 1,
    groups: () => [group],
    groupNamed: (name) => name,
    ownLoads: () => [load],
    send: (report) => {
      answer = hub.receive(report, "127.0.0.1");
    },
  });
  const exchange = (): void => {
    for (let count = 0; count < DATAGRAMS; count += 1) {
      clock.nowMs += INTERVAL_MS;
      hub.observe(runners);
      view.poll();
      if (readsAnswers && answer !== undefined) view.receive(answer, PLANNER);
    }
  };
  exchange();
  return processorTimeOf(exchange) / DATAGRAMS;
}

async function bind(): Promise<Socket> {
  const socket = createSocket("udp4");
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  return socket;
}

/**
 * Processor time of this process for one datagram that is sent and received
 * over UDP, user and system, µs.
 */
async function measureSocket(bytes: number): Promise<number> {
  const sender = await bind();
  const receiver = await bind();
  const { port } = receiver.address();
  const datagram = Buffer.alloc(bytes, 1);
  const exchange = (count: number): Promise<void> =>
    new Promise((resolve) => {
      let received = 0;
      const send = (): void => {
        sender.send(datagram, port, "127.0.0.1");
      };
      receiver.removeAllListeners("message");
      receiver.on("message", () => {
        received += 1;
        if (received === count) resolve();
        else if (received + WINDOW <= count) send();
      });
      for (let index = 0; index < WINDOW; index += 1) send();
    });
  await exchange(DATAGRAMS);
  const before = process.cpuUsage();
  await exchange(DATAGRAMS);
  const { user, system } = process.cpuUsage(before);
  sender.close();
  receiver.close();
  return (user + system) / DATAGRAMS;
}

export const measureLoadView: Measurement = async () => {
  const points = ENTRY_COUNTS.map((size) => ({ size, cost: measureHub(size) }));
  const reportBytes = reportOf(1, 86_400_000).length;
  const clock = new Clock();
  const hub = createHub(clock);
  const answerBytes = playReports(clock, hub, 20, 400);
  const result = {
    measurement: "load-view",
    reportBytes,
    answerBytes,
    hubMicroseconds: { points, ...fitLine(points) },
    entryMicroseconds: measureEntry(),
    socketMicroseconds: {
      report: await measureSocket(reportBytes),
      answer: await measureSocket(answerBytes),
    },
  };
  console.table(points);
  console.log(JSON.stringify(result));
};
