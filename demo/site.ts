/**
 * A complete site on loopback: the simulated platform services run in this
 * process, every entry and agent in a separate one.
 */
import { BASELINE_FORMAT, encodeEnvelope } from "../src/internal.js";
import { LogClient } from "../src/platform/log-client.js";
import type { Vm } from "../src/platform/vm-list-client.js";
import { startLog, type LogStandIn } from "../standins/log.js";
import { startVmList, type VmListStandIn } from "../standins/vm-list.js";
import type { DaemonSettings } from "./daemon-process.js";
import { SiteGroup, type SiteGroupOptions } from "./site-group.js";
import {
  startEntry,
  startRunner,
  startService,
  type SiteMember,
  type SiteRunner,
  type SiteService,
} from "./site-members.js";

export interface SiteOptions {
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  /** Model runners, assigned to the data centres round-robin. */
  readonly runners: number;
  readonly services: number;
  readonly stepMs: number;
  readonly modelGroup: string;
  readonly serviceGroup: string;
  readonly logLevel?: string;
  /** External engines, by runner index, to use instead of simulated ones. */
  readonly engineAddresses?: readonly string[];
  readonly graceMs?: number;
  /** Runs the engines as one lockstep group; without it they're independent. */
  readonly group?: SiteGroupOptions;
}

export interface Site extends AsyncDisposable {
  readonly log: LogStandIn;
  readonly vmList: VmListStandIn;
  /** Undefined if the engines run independently. */
  readonly group: SiteGroup | undefined;
  readonly entries: readonly SiteMember[];
  readonly runners: readonly SiteRunner[];
  readonly services: readonly SiteService[];
  /** Updates the VM list from the daemons; `change` can alter each record. */
  readonly showVms: (change?: (vm: Vm) => Vm) => void;
  /** Appends a publication as the command-line tool does. */
  readonly publish: (configuration: unknown) => Promise<void>;
  /**
   * Resolves once every entry has a configuration and sees all backend servers.
   */
  readonly waitUntilReady: () => Promise<void>;
}

interface EntryStatus {
  readonly version: number | null;
  readonly backends: readonly { readonly live: boolean }[];
}

const POLL_INTERVAL_MS = 50;
const GRACE_MS = 10_000;
const WINDOW_STEPS = 200;

export async function startSite(options: SiteOptions): Promise<Site> {
  const log = await startLog();
  const vmList = await startVmList();
  const group =
    options.group === undefined
      ? undefined
      : await SiteGroup.create(options.group);
  const platform = {
    log: log.address,
    vmList: vmList.address,
    ...(group === undefined ? {} : { weightStore: group.weightStore.address }),
  };
  const settingsOf = createSettings(options, platform);
  const runners = await startMany(options.runners, (index) =>
    startRunner(settingsOf("runner", index), {
      stepMs: options.stepMs,
      engineAddress: options.engineAddresses?.at(index),
      group,
    }),
  );
  const services = await startMany(options.services, (index) =>
    startService(settingsOf("service", index)),
  );
  const entryCount = options.dataCentres.length * options.entriesPerDataCentre;
  const entries = await startMany(entryCount, (index) =>
    startEntry(settingsOf("entry", index)),
  );
  const members = [...entries, ...runners, ...services];
  const showVms = (change: (vm: Vm) => Vm = (vm) => vm): void => {
    vmList.setVms(members.map((member) => change(member.vm())));
  };
  showVms();
  return {
    log,
    vmList,
    group,
    entries,
    runners,
    services,
    showVms,
    publish: (configuration) => publish(log.address, configuration),
    waitUntilReady: async () => {
      const backendServerCount = runners.length + services.length;
      for (const entry of entries)
        await waitForEntry(entry, backendServerCount);
    },
    async [Symbol.asyncDispose]() {
      const owned = [...members, vmList, log];
      await Promise.all(owned.map((item) => item[Symbol.asyncDispose]()));
      await group?.[Symbol.asyncDispose]();
    },
  };
}

type MemberKind = "runner" | "service" | "entry";

function createSettings(
  options: SiteOptions,
  platform: Readonly<Record<string, string>>,
): (kind: MemberKind, index: number) => DaemonSettings {
  const { dataCentres, modelGroup, serviceGroup } = options;
  return (kind, index) => {
    const common = {
      name: `${kind}-${index}`,
      dataCentre: dataCentres[index % dataCentres.length],
      platform,
      logLevel: options.logLevel ?? "info",
      graceMs: options.graceMs ?? GRACE_MS,
    };
    // The default report window of ten seconds is too long for a demo.
    const limits = { windowSteps: WINDOW_STEPS };
    if (kind === "entry") return { role: "entry", ...common };
    return kind === "runner"
      ? { role: "agent", ...common, group: modelGroup, ranks: [index], limits }
      : { role: "agent", ...common, group: serviceGroup };
  };
}

export async function publish(
  address: string,
  configuration: unknown,
): Promise<void> {
  const client = LogClient.create(address);
  const { nextOffset } = await client.read("configuration", { from: 0 });
  const record = encodeEnvelope({
    kind: "publication",
    basedOn: null,
    seenThrough: nextOffset,
    formatVersion: BASELINE_FORMAT,
    nonce: `demo-${nextOffset}`,
    author: "demo",
    configuration,
  });
  await client.append("configuration", [Buffer.from(record)]);
}

async function startMany<T>(
  count: number,
  start: (index: number) => Promise<T>,
): Promise<T[]> {
  const indexes = Array.from({ length: count }, (_, index) => index);
  return Promise.all(indexes.map(start));
}

export async function readStatus(operators: string): Promise<unknown> {
  const response = await fetch(`http://${operators}/status`);
  return response.json();
}

async function waitForEntry(
  { daemon }: SiteMember,
  backendServerCount: number,
): Promise<void> {
  for (;;) {
    const { operators } = daemon.process;
    const status = (await readStatus(operators)) as EntryStatus;
    const live = status.backends.filter((item) => item.live).length;
    if (status.version !== null && live === backendServerCount) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
