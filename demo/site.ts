/**
 * A whole site on loopback: the platform's stand-ins in this process, every
 * entry and agent as a process of its own.
 */
import { BASELINE_FORMAT, encodeEnvelope } from "../src/internal.js";
import { LogClient } from "../src/platform/log-client.js";
import type { Vm } from "../src/platform/vm-list-client.js";
import { startEngine, type EngineStandIn } from "../standins/engine.js";
import { startLog, type LogStandIn } from "../standins/log.js";
import {
  startPlainService,
  type PlainServiceStandIn,
} from "../standins/plain-service.js";
import {
  startSilentRelay,
  type SilentRelay,
} from "../standins/silent-relay.js";
import { startVmList, type VmListStandIn } from "../standins/vm-list.js";
import { startDaemonProcess, type DaemonProcess } from "./daemon-process.js";

export interface SiteOptions {
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  /** Model runners, spread over the data centres in turn. */
  readonly runners: number;
  readonly services: number;
  readonly stepMs: number;
  readonly modelGroup: string;
  readonly serviceGroup: string;
  readonly logLevel?: string;
  /** Engines that run elsewhere, in place of one stand-in for each runner. */
  readonly engineAddresses?: readonly string[];
  readonly graceMs?: number;
  /**
   * Relays between entries and agents, for faults; they run in this process.
   * A measurement does without them, or it would measure them too.
   */
  readonly relays?: boolean;
}

export interface SiteRunner {
  readonly name: string;
  readonly dataCentre: string;
  readonly engine: EngineStandIn;
  readonly agent: DaemonProcess;
  /** Between the entries and the agent. */
  readonly relay: SilentRelay;
}

export interface SiteService {
  readonly name: string;
  readonly dataCentre: string;
  readonly service: PlainServiceStandIn;
  readonly agent: DaemonProcess;
}

export interface SiteEntry {
  readonly dataCentre: string;
  readonly process: DaemonProcess;
}

export interface Site extends AsyncDisposable {
  readonly log: LogStandIn;
  readonly vmList: VmListStandIn;
  readonly entries: readonly SiteEntry[];
  readonly runners: readonly SiteRunner[];
  readonly services: readonly SiteService[];
  /** What the list of VMs shows from the start. */
  readonly vms: readonly Vm[];
  /** Appends a publication as the command-line tool does. */
  readonly publish: (configuration: unknown) => Promise<void>;
  /** Resolves when every entry serves and sees every backend server. */
  readonly settled: () => Promise<void>;
}

interface EntryStatus {
  readonly version: number | null;
  readonly backends: readonly { readonly live: boolean }[];
}

const POLL_MS = 50;
const IDLE_STEP_MS = 1000;

export async function startSite(options: SiteOptions): Promise<Site> {
  const log = await startLog();
  const vmList = await startVmList();
  const platform = { log: log.address, vmList: vmList.address };
  const common = {
    platform,
    logLevel: options.logLevel ?? "info",
    graceMs: options.graceMs ?? 10_000,
  };
  const place = (index: number): string =>
    options.dataCentres[index % options.dataCentres.length];
  const runners = await startMany(options.runners, async (index) => {
    const name = `runner-${index}`;
    const dataCentre = place(index);
    const elsewhere = options.engineAddresses?.at(index);
    // A step of zero would spin for an engine that nobody calls.
    const stepMs = elsewhere === undefined ? options.stepMs : IDLE_STEP_MS;
    const engine = await startEngine({ stepMs });
    const agent = await startDaemonProcess({
      role: "agent",
      name,
      dataCentre,
      ...common,
      group: options.modelGroup,
      ranks: [index],
      runner: {
        address: elsewhere ?? engine.address,
        kind: "model",
      },
    });
    const relay = await startSilentRelay(agent.peers);
    return { name, dataCentre, engine, agent, relay };
  });
  const services = await startMany(options.services, async (index) => {
    const name = `service-${index}`;
    const dataCentre = place(index);
    const service = await startPlainService();
    const agent = await startDaemonProcess({
      role: "agent",
      name,
      dataCentre,
      ...common,
      group: options.serviceGroup,
      runner: { address: service.address, kind: "service" },
    });
    return { name, dataCentre, service, agent };
  });
  const entryCount = options.dataCentres.length * options.entriesPerDataCentre;
  const entries = await startMany(entryCount, async (index) => {
    const dataCentre = place(index);
    const name = `entry-${index}`;
    const settings = { role: "entry", name, dataCentre, ...common };
    return { dataCentre, process: await startDaemonProcess(settings) };
  });
  const vms = [
    ...runners.map((item) => ({
      ...backendVm(item, options.modelGroup),
      address: options.relays === false ? item.agent.peers : item.relay.address,
    })),
    ...services.map((item) => backendVm(item, options.serviceGroup)),
    ...entries.map(entryVm),
  ];
  vmList.change(vms);
  const owned = [
    ...entries.map((item) => item.process),
    ...runners.flatMap(({ agent, relay, engine }) => [agent, relay, engine]),
    ...services.flatMap(({ agent, service }) => [agent, service]),
    vmList,
    log,
  ];
  const client = LogClient.create(log.address);
  return {
    log,
    vmList,
    vms,
    entries,
    runners,
    services,
    publish: async (configuration) => {
      const { nextOffset } = await client.read("configuration", { from: 0 });
      const publication = {
        kind: "publication",
        basedOn: null,
        seenThrough: nextOffset,
        formatVersion: BASELINE_FORMAT,
        nonce: `demo-${nextOffset}`,
        author: "demo",
        configuration,
      } as const;
      const record = Buffer.from(encodeEnvelope(publication));
      await client.append("configuration", [record]);
    },
    settled: async () => {
      const backends = runners.length + services.length;
      for (const entry of entries) await waitForEntry(entry, backends);
    },
    async [Symbol.asyncDispose]() {
      await Promise.all(owned.map((item) => item[Symbol.asyncDispose]()));
    },
  };
}

async function startMany<T>(
  count: number,
  start: (index: number) => Promise<T>,
): Promise<T[]> {
  const indexes = Array.from({ length: count }, (_, index) => index);
  return Promise.all(indexes.map(start));
}

function backendVm(
  item: { name: string; dataCentre: string; agent: DaemonProcess },
  group: string,
): Vm {
  const { name, dataCentre, agent } = item;
  const { peers: address, operators } = agent;
  const state = "live";
  return {
    name,
    role: "backend",
    address,
    operators,
    dataCentre,
    group,
    state,
  };
}

function entryVm({ dataCentre, process }: SiteEntry): Vm {
  const { name, peers: address, operators } = process;
  return { name, role: "entry", address, operators, dataCentre, state: "live" };
}

export async function readStatus(operators: string): Promise<unknown> {
  const response = await fetch(`http://${operators}/status`);
  return response.json();
}

async function waitForEntry(
  { process }: SiteEntry,
  backends: number,
): Promise<void> {
  for (;;) {
    const status = (await readStatus(process.operators)) as EntryStatus;
    const live = status.backends.filter((item) => item.live).length;
    if (status.version !== null && live === backends) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
