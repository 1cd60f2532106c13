/**
 * Three groups of ranks behind several entries, in virtual time: each group makes
 * its passes at its own pace, which falls with all streams that run in it. A group
 * may be slow, or refuse everything for a while.
 */
import { VirtualTime } from "../../fuzz/virtual-time.js";
import { RunnerPool, type Runner } from "../../src/direct/runner-pool.js";
import { ServiceGroups } from "../../src/direct/service-groups.js";
import { createRandom, ignoreEvents, type Random } from "../../src/internal.js";
import { NO_GROUP } from "../../src/membership/runner-groups.js";
import { unusedConnections } from "./unused-connections.js";

export interface GroupWorldOptions {
  readonly seed: number;
  readonly entries: number;
  /** Whether entries know which runners form a group. */
  readonly knowsGroups: boolean;
  /** Requests a second. */
  readonly rate: number;
  /** How many times as long a pass of the first group takes. */
  readonly slowness: number;
  /** The first group refuses between these times, ms. */
  readonly refuses: { readonly fromMs: number; readonly toMs: number };
}

/** What callers got. */
export interface GroupOutcome {
  readonly calls: number;
  /** Whole, with no pause over the objective. */
  readonly inTime: number;
  /** Attempts that a group refused which was out. */
  readonly refusals: number;
}

const GROUPS = 3;
const RANKS = 12;
const SLOTS = 7;
const EVENTS = 19;
const OBJECTIVE_MS = 150;
const LEAST_PASS_MS = 40;
/** What each stream adds to a pass of its group, ms. */
const STREAM_MS = 1;
const LENGTH_MS = 30_000;
/** Limits are found within this time; callers count from then on, ms. */
const SETTLING_MS = 8000;
const MOST_ATTEMPTS = 2;

interface Stream {
  readonly entry: Entry;
  readonly runner: Runner;
  readonly counts: boolean;
  eventAtMs: number;
  events: number;
  isLate: boolean;
}

interface Entry {
  readonly pool: RunnerPool;
  readonly groups: ServiceGroups;
}

function groupAt(address: string): number {
  return Number(address.split(".")[2]);
}

export class GroupWorld {
  private readonly time = VirtualTime.create(0);
  private readonly random: Random;
  private readonly entries: readonly Entry[];
  private readonly streams = Array.from({ length: GROUPS }, () => {
    return new Set<Stream>();
  });
  private calls = 0;
  private inTime = 0;
  private refusals = 0;

  private constructor(private readonly options: GroupWorldOptions) {
    this.random = createRandom(options.seed);
    this.entries = Array.from({ length: options.entries }, () =>
      this.startEntry(),
    );
  }

  static create(options: GroupWorldOptions): GroupWorld {
    return new GroupWorld(options);
  }

  play(): GroupOutcome {
    for (let group = 0; group < GROUPS; group += 1) this.nextPass(group);
    this.nextCall();
    this.time.advance(LENGTH_MS);
    const { calls, inTime, refusals } = this;
    return { calls, inTime, refusals };
  }

  private startEntry(): Entry {
    const pool = RunnerPool.create({
      now: () => this.time.nowMs,
      random: this.random,
      emit: ignoreEvents,
      connect: () => unusedConnections,
      dataCentre: "here",
      isSlow: () => false,
    });
    for (let at = 0; at < GROUPS * RANKS; at += 1) {
      pool.set({
        id: `r${at}`,
        service: "model",
        address: `10.0.${at % GROUPS}.${at}:80`,
        dataCentre: "here",
        slots: SLOTS,
        isLeaving: false,
        heartbeat: 1,
        startedAtMs: undefined,
      });
    }
    const groups = ServiceGroups.create({
      now: () => this.time.nowMs,
      emit: ignoreEvents,
      service: "model",
      pool,
      groupOf: (address) =>
        this.options.knowsGroups ? `g${groupAt(address)}` : NO_GROUP,
    });
    return { pool, groups };
  }

  private nextCall(): void {
    const waitMs = (-Math.log(1 - this.random()) * 1000) / this.options.rate;
    this.time.after(waitMs, () => {
      this.call();
      this.nextCall();
    });
  }

  private call(): void {
    const { entries } = this;
    const entry = entries[Math.floor(this.random() * entries.length)];
    const counts = this.time.nowMs >= SETTLING_MS;
    if (counts) this.calls += 1;
    const tried = new Set<Runner>();
    let runner = entry.groups.runnerToStart();
    while (runner !== undefined && tried.size < MOST_ATTEMPTS) {
      entry.pool.start(runner);
      if (!this.refuses(groupAt(runner.server.address))) {
        this.begin(entry, runner, counts);
        return;
      }
      this.refusals += 1;
      entry.pool.release(runner, "full");
      entry.groups.onRefused(runner);
      tried.add(runner);
      runner = entry.groups.runnerToMoveTo(tried);
    }
  }

  private begin(entry: Entry, runner: Runner, counts: boolean): void {
    const eventAtMs = this.time.nowMs;
    const stream = {
      entry,
      runner,
      counts,
      eventAtMs,
      events: 0,
      isLate: false,
    };
    this.streams[groupAt(runner.server.address)].add(stream);
  }

  private refuses(group: number): boolean {
    const { fromMs, toMs } = this.options.refuses;
    const { nowMs } = this.time;
    return group === 0 && nowMs >= fromMs && nowMs < toMs;
  }

  private nextPass(group: number): void {
    const slowness = group === 0 ? this.options.slowness : 1;
    const passMs =
      slowness * (LEAST_PASS_MS + STREAM_MS * this.streams[group].size);
    this.time.after(passMs, () => {
      for (const stream of this.streams[group]) this.onEvent(stream);
      this.nextPass(group);
    });
  }

  private onEvent(stream: Stream): void {
    const { entry, runner } = stream;
    const pauseMs = this.time.nowMs - stream.eventAtMs;
    stream.eventAtMs = this.time.nowMs;
    stream.events += 1;
    if (stream.events === 1) {
      entry.groups.onAccepted(runner);
    } else {
      entry.groups.onPause(runner, pauseMs, OBJECTIVE_MS);
      stream.isLate ||= pauseMs > OBJECTIVE_MS;
    }
    if (stream.events < EVENTS) return;
    this.streams[groupAt(runner.server.address)].delete(stream);
    entry.pool.release(runner, "served");
    if (stream.counts && !stream.isLate) this.inTime += 1;
  }
}
