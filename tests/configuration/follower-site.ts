/**
 * Configuration followers in one process that communicate over real sockets.
 */
import {
  encodeEnvelope,
  type Checkpoint,
  type Publication,
} from "../../src/internal.js";
import { ConfigurationFollower } from "../../src/daemon/configuration/follower.js";
import { runTask } from "../../src/daemon/background-task.js";
import { PeerListener } from "../../src/daemon/peer-listener.js";
import { createContext } from "../../src/daemon/process-context.js";
import { parseSettings } from "../../src/daemon/settings.js";
import { LogClient } from "../../src/platform/log-client.js";
import type { Vm } from "../../src/platform/vm-list-client.js";
import { ConfigurationFeedService } from "../../src/wire/generated/configuration.js";
import { startLog, type LogStandIn } from "../../standins/log.js";
import { startVmList, type VmListStandIn } from "../../standins/vm-list.js";

const POLL_INTERVAL_MS = 5;
const MAXIMUM_WAIT_MS = 8_000;

export interface RunningFollower extends AsyncDisposable {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly follower: ConfigurationFollower;
}

export interface FollowerSite extends AsyncDisposable {
  readonly log: LogStandIn;
  readonly vmList: VmListStandIn;
  readonly append: (record: Publication | Checkpoint) => Promise<number>;
  readonly start: (
    name: string,
    dataCentre?: string,
  ) => Promise<RunningFollower>;
  /** Publishes the running followers on the platform's list of VMs. */
  readonly list: () => void;
}

export async function startFollowerSite(): Promise<FollowerSite> {
  const log = await startLog();
  const vmList = await startVmList();
  const client = LogClient.create(log.address);
  const running: RunningFollower[] = [];
  const list = (): void => {
    vmList.setVms(running.map(toVm));
  };
  return {
    log,
    vmList,
    list,
    append: (record) =>
      client.append("configuration", [Buffer.from(encodeEnvelope(record))]),
    start: async (name, dataCentre = "lac") => {
      const addresses = { log: log.address, vmList: vmList.address };
      const started = await startFollower(name, dataCentre, addresses);
      running.push(started);
      return started;
    },
    async [Symbol.asyncDispose]() {
      await Promise.all(running.map((item) => item[Symbol.asyncDispose]()));
      await Promise.all(
        [log, vmList].map((item) => item[Symbol.asyncDispose]()),
      );
    },
  };
}

/** Polls the condition and throws after `MAXIMUM_WAIT_MS`. */
export async function until(
  what: string,
  condition: () => boolean,
): Promise<void> {
  const deadline = Date.now() + MAXIMUM_WAIT_MS;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function toVm({ name, address, dataCentre }: RunningFollower): Vm {
  const operators = "";
  return { name, role: "entry", address, operators, dataCentre, state: "live" };
}

async function startFollower(
  name: string,
  dataCentre: string,
  platform: { readonly log: string; readonly vmList: string },
): Promise<RunningFollower> {
  const text = JSON.stringify({
    role: "entry",
    name,
    dataCentre,
    platform,
    logLevel: "error",
  });
  const settings = parseSettings(text, name);
  const context = createContext(settings);
  const { emit } = context;
  const follower = ConfigurationFollower.create({
    context,
    log: LogClient.create(platform.log),
    vmList: platform.vmList,
    transport: settings.transport,
  });
  const listener = PeerListener.create({ ...context, settings });
  listener.server.addService(ConfigurationFeedService, follower.feed.service);
  const address = await listener.bind(settings.peers, settings.transport);
  const stopController = new AbortController();
  const { signal } = stopController;
  const tasks = [
    runTask({
      name: "follow",
      emit,
      signal,
      run: (taskSignal) => follower.run(taskSignal),
    }),
    runTask({
      name: "feed",
      emit,
      signal,
      run: (taskSignal) => follower.sendHeartbeats(taskSignal),
    }),
  ];
  return {
    name,
    address,
    dataCentre,
    follower,
    async [Symbol.asyncDispose]() {
      stopController.abort();
      await listener[Symbol.asyncDispose]();
      await Promise.all(tasks);
    },
  };
}
