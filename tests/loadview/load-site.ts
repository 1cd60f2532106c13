/** Entries and planners of one group, with links that tests break. */
import { VirtualTime } from "../../fuzz/virtual-time.js";
import {
  createRandom,
  ignoreMeasurements,
  type EventNumber,
} from "../../src/internal.js";
import { DatagramFindings } from "../../src/loadview/datagram-findings.js";
import { EntryLoadView } from "../../src/loadview/entry-load-view.js";
import { LoadHub } from "../../src/loadview/load-hub.js";
import type { EntryLoad, GroupLoad } from "../../src/loadview/types.js";
import {
  RunnerGroups,
  type GroupNote,
} from "../../src/membership/runner-groups.js";

export const GROUP = "model.one";
export const PLANNER = "10.0.0.1:7000";
export const NEXT_PLANNER = "10.0.0.2:7000";

/** Undefined for a datagram that is lost, otherwise its delays, ms. */
export type Link = (from: string, to: string) => readonly number[];

export class SiteEntry {
  readonly groups = RunnerGroups.create();
  readonly events: EventNumber[] = [];
  running = 0;
  waiting = 0;
  oldestWaitMs = 0;
  isStopped = false;
  readonly view: EntryLoadView;

  constructor(
    readonly name: string,
    readonly address: string,
    incarnation: number,
    private readonly site: LoadSite,
    clockOffsetMs: number,
  ) {
    const emit = (number: EventNumber): void => {
      this.events.push(number);
    };
    this.view = EntryLoadView.create({
      now: () => site.time.nowMs + clockOffsetMs,
      random: site.random,
      emit,
      measurements: ignoreMeasurements,
      findings: DatagramFindings.create({
        emit,
        measurements: ignoreMeasurements,
      }),
      name,
      incarnation,
      groups: () => this.groups.planned,
      groupNamed: (group) => this.groups.plannedNamed(group),
      ownLoads: () => this.ownLoads(),
      send: (datagram, planner) => {
        site.send(datagram, this.address, planner);
      },
    });
    site.time.schedule(site.random() * 250, () => {
      this.poll();
    });
  }

  get load(): GroupLoad | undefined {
    return this.view.read(GROUP);
  }

  private ownLoads(): readonly EntryLoad[] {
    const { running, waiting, oldestWaitMs } = this;
    if (running + waiting === 0) return [];
    const priorities = [{ priority: 1, running, waiting, oldestWaitMs }];
    return [{ group: GROUP, limit: 10, priorities }];
  }

  private poll(): void {
    if (this.isStopped) return;
    this.site.time.schedule(this.view.poll(), () => {
      this.poll();
    });
  }
}

export class LoadSite {
  readonly time = VirtualTime.create(1000);
  readonly random = createRandom(7);
  readonly entries = new Map<string, SiteEntry>();
  readonly hubs = new Map<string, LoadHub>();
  readonly hubEvents: EventNumber[] = [];
  /** Entries heard by the planner of each group, from its metrics. */
  readonly heardEntries = new Map<string, number>();
  link: Link = () => [1];
  isPlanner = true;
  datagrams = 0;
  bytes = 0;
  largest = 0;
  private lastIncarnation = 0;

  addHub(address: string): LoadHub {
    const emit = (number: EventNumber): void => {
      this.hubEvents.push(number);
    };
    const hub = LoadHub.create({
      now: () => this.time.nowMs,
      emit,
      measurements: {
        ...ignoreMeasurements,
        set: (key, value, labels) => {
          if (key === "loadViewEntries")
            this.heardEntries.set(labels?.group ?? "", value ?? 0);
        },
      },
      findings: DatagramFindings.create({
        emit,
        measurements: ignoreMeasurements,
      }),
      isPlanner: () => this.isPlanner,
    });
    hub.begin(GROUP);
    this.hubs.set(address, hub);
    return hub;
  }

  /** `clockOffsetMs`: what the entry's clock is ahead by. */
  addEntry(name: string, planner: string, clockOffsetMs = 0): SiteEntry {
    this.lastIncarnation += 1;
    const address = `10.1.0.${this.lastIncarnation}:7001`;
    const entry = new SiteEntry(
      name,
      address,
      this.lastIncarnation,
      this,
      clockOffsetMs,
    );
    entry.groups.apply(noteOf(planner));
    this.entries.set(address, entry);
    return entry;
  }

  send(datagram: Buffer, from: string, to: string): void {
    this.datagrams += 1;
    this.bytes += datagram.length;
    this.largest = Math.max(this.largest, datagram.length);
    for (const delayMs of this.link(from, to)) {
      this.time.schedule(delayMs, () => {
        this.deliver(datagram, from, to);
      });
    }
  }

  deliver(datagram: Buffer, from: string, to: string): void {
    this.entries.get(to)?.view.receive(datagram, from);
    const host = from.slice(0, from.lastIndexOf(":"));
    const answer = this.hubs.get(to)?.receive(datagram, host);
    if (answer !== undefined) this.send(answer, to, from);
  }
}

/** Group of two runners, as its planner publishes it. */
export function noteOf(planner: string | undefined, epoch = 1): GroupNote {
  const addresses = ["10.0.0.1:80", "10.0.0.2:80"];
  const members = { name: GROUP, service: "model", epoch, addresses };
  return planner === undefined ? members : { ...members, planner };
}

/** A site whose entries have run two requests each since a while ago. */
export function createSite(
  entryCount: number,
  clockOffsetMs: (index: number) => number = () => 0,
): { readonly site: LoadSite; readonly entries: readonly SiteEntry[] } {
  const site = new LoadSite();
  site.addHub(PLANNER);
  const entries = Array.from({ length: entryCount }, (_, index) => {
    const entry = site.addEntry(
      `entry-${index}`,
      PLANNER,
      clockOffsetMs(index),
    );
    entry.running = 2;
    return entry;
  });
  site.time.advance(3000);
  return { site, entries };
}

export function runningOf(load: GroupLoad | undefined): number | undefined {
  return load?.priorities.find(({ priority }) => priority === 1)?.running;
}
