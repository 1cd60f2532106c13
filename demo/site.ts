/**
 * A whole site on loopback: the platform's stand-ins in this process, every
 * entry and agent as a process of its own.
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
  /** The runners' engines as one lock-step group; each on its own if absent. */
  readonly group?: SiteGroupOptions;
}

export interface Site extends AsyncDisposable {
  readonly log: LogStandIn;
  readonly vmList: VmListStandIn;
  /** Undefined when every engine steps on its own. */
  readonly group: SiteGroup | undefined;
  readonly entries: readonly SiteMember[];
  readonly runners: readonly SiteRunner[];
  readonly services: readonly SiteService[];
  /** Shows the daemons as they are now, changed where asked. */
  readonly showVms: (change?: (vm: Vm) => Vm) => void;
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
const GRACE_MS = 10_000;

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
    vmList.change(members.map((member) => change(member.vm())));
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
    settled: async () => {
      const backends = runners.length + services.length;
      for (const entry of entries) await waitForEntry(entry, backends);
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
    if (kind === "entry") return { role: "entry", ...common };
    return kind === "runner"
      ? { role: "agent", ...common, group: modelGroup, ranks: [index] }
      : { role: "agent", ...common, group: serviceGroup };
  };
}

async function publish(address: string, configuration: unknown): Promise<void> {
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
  backends: number,
): Promise<void> {
  for (;;) {
    const { operators } = daemon.process;
    const status = (await readStatus(operators)) as EntryStatus;
    const live = status.backends.filter((item) => item.live).length;
    if (status.version !== null && live === backends) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
