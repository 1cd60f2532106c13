/**
 * Simulates three groups of ranks behind several entries, in virtual time. Each
 * group executes steps whose duration grows with the streams that run in it.
 * The first group may be slow, or refuse all requests for a while.
 */
import { VirtualTime } from "../../fuzz/virtual-time.js";
import { RunnerPool } from "../../src/direct/runner-pool.js";
import type { Runner } from "../../src/direct/runner.js";
import { ServiceGroups } from "../../src/direct/service-groups.js";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
  type Random,
} from "../../src/internal.js";
import { NO_GROUP } from "../../src/membership/runner-groups.js";
import {
  SimulatedCallers,
  type CallOutcome,
  type CallersOptions,
  type CallersSite,
  type SimulatedEntry,
} from "./simulated-callers.js";
import { unlimited } from "./unlimited.js";
import { unusedConnections } from "./unused-connections.js";

export interface GroupSimulationOptions {
  readonly seed: number;
  readonly entries: number;
  /** Whether entries know which runners form a group. */
  readonly knowsGroups: boolean;
  readonly requestsPerSecond: number;
  /** Factor by which steps of the first group take longer. */
  readonly slowness: number;
  /** Period in which the first group refuses all requests, ms. */
  readonly outage: { readonly fromMs: number; readonly toMs: number };
  /**
   * Standard deviation of a step's duration relative to its mean, as demand for
   * experts shifts; 0 if left out.
   */
  readonly stepVariation?: number;
  /**
   * Whether a step of each group is held for 300 ms now and then, as for a
   * switch of its expert map; false if left out.
   */
  readonly hasHeldSteps?: boolean;
  /**
   * Constant number of concurrent requests of each entry in each group, in
   * place of the adaptive limit.
   */
  readonly fixedLimit?: number | undefined;
  /** Period in which most calls come to the first entry; none if left out. */
  readonly shift?: DemandShift;
  /** Callers of several kinds, in place of the calls of one kind. */
  readonly callers?: CallersOptions;
}

export interface DemandShift {
  readonly fromMs: number;
  readonly toMs: number;
  /** Share of the calls that the first entry gets. */
  readonly share: number;
}

/**
 * Results of the calls after the warm-up, and the refusals of the whole run.
 */
export interface GroupOutcome {
  readonly calls: number;
  /** Calls answered completely with no pause above the objective. */
  readonly inTime: number;
  /** Calls answered completely with a pause above the objective. */
  readonly late: number;
  /** Attempts refused by the group with the outage. */
  readonly refusals: number;
  /** Calls in each second of the run, and how many of them found a runner. */
  readonly seconds: readonly SecondOutcome[];
  /** Calls of the callers of several kinds. */
  readonly callOutcomes: readonly CallOutcome[];
}

export interface SecondOutcome {
  readonly calls: number;
  readonly placed: number;
}

const GROUPS = 3;
const RANKS_PER_GROUP = 12;
const SLOTS_PER_RANK = 7;
const EVENTS_PER_STREAM = 19;
const OBJECTIVE_MS = 150;
const MINIMUM_STEP_MS = 40;
/** Time that each stream adds to a step of its group, ms. */
const STEP_MS_PER_STREAM = 1;
const DURATION_MS = 30_000;
/**
 * Time in which the concurrency limits settle; calls count from then on, ms.
 */
const WARM_UP_MS = 8000;
const MS_PER_SECOND = 1000;
const MAXIMUM_ATTEMPTS = 2;
const HELD_STEP_MS = 300;
/** Mean interval between two held steps of a group, ms. */
const HELD_STEP_INTERVAL_MS = 5000;
/** Time for which a shift of demand keeps steps longer or shorter, ms. */
const VARIATION_TIME_MS = 400;

interface Stream {
  readonly entry: Entry;
  readonly runner: Runner;
  readonly isCounted: boolean;
  eventAtMs: number;
  events: number;
  isLate: boolean;
  readonly onEnded: Parameters<CallersSite["startStream"]>[2] | undefined;
  firstEventAtMs: number;
}

type Entry = SimulatedEntry;

function groupAt(address: string): number {
  return Number(address.split(".")[2]);
}

export class GroupSimulation {
  private readonly time = VirtualTime.create(0);
  private readonly random: Random;
  private readonly entries: readonly Entry[];
  private readonly streams = Array.from({ length: GROUPS }, () => {
    return new Set<Stream>();
  });
  private readonly callers: SimulatedCallers | undefined;
  private calls = 0;
  private inTime = 0;
  private late = 0;
  private refusals = 0;
  private readonly seconds = Array.from(
    { length: DURATION_MS / MS_PER_SECOND },
    () => ({ calls: 0, placed: 0 }),
  );
  /** Deviation of each group's current step from its mean, relative. */
  private readonly deviations = Array.from({ length: GROUPS }, () => 0);

  private constructor(private readonly options: GroupSimulationOptions) {
    this.random = createRandom(options.seed);
    this.entries = Array.from({ length: options.entries }, (_, index) =>
      this.startEntry(index),
    );
    const { time, random, entries } = this;
    this.callers =
      options.callers &&
      SimulatedCallers.create(
        {
          time,
          random,
          entries,
          startStream: (entry, runner, onEnded) => {
            this.startStream(entry, runner, false, onEnded);
          },
        },
        options.callers,
      );
  }

  static create(options: GroupSimulationOptions): GroupSimulation {
    return new GroupSimulation(options);
  }

  run(): GroupOutcome {
    for (let group = 0; group < GROUPS; group += 1) this.scheduleStep(group);
    if (this.callers === undefined) this.scheduleCall();
    else this.callers.start();
    this.time.advance(DURATION_MS);
    const { calls, inTime, late, refusals, seconds } = this;
    const callOutcomes = this.callers?.outcomes ?? [];
    return { calls, inTime, late, refusals, seconds, callOutcomes };
  }

  private startEntry(entry: number): Entry {
    const pool = RunnerPool.create({
      now: () => this.time.nowMs,
      random: this.random,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      connect: () => unusedConnections,
      dataCentre: "here",
      isSlow: () => false,
      limits: unlimited,
    });
    for (let index = 0; index < GROUPS * RANKS_PER_GROUP; index += 1) {
      pool.set({
        id: `r${index}`,
        service: "model",
        address: `10.0.${index % GROUPS}.${index}:80`,
        dataCentre: "here",
        slots: this.slotsPerRank,
        isLeaving: false,
        coldLeftMs: 0,
        heartbeat: 1,
        startedAtMs: undefined,
      });
    }
    const groups = ServiceGroups.create({
      now: () => this.time.nowMs,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      service: "model",
      pool,
      groupOf: (address) =>
        this.options.knowsGroups ? `g${groupAt(address)}` : NO_GROUP,
      groupLoad: (group) => this.callers?.loadOf(entry, group),
    });
    return { pool, groups };
  }

  private get slotsPerRank(): number {
    const { fixedLimit } = this.options;
    return fixedLimit === undefined
      ? SLOTS_PER_RANK
      : fixedLimit / RANKS_PER_GROUP;
  }

  private scheduleCall(): void {
    const waitMs =
      (-Math.log(1 - this.random()) * 1000) / this.options.requestsPerSecond;
    this.time.schedule(waitMs, () => {
      this.placeCall();
      this.scheduleCall();
    });
  }

  private placeCall(): void {
    const entry = this.entryForCall();
    const second = this.seconds[Math.floor(this.time.nowMs / MS_PER_SECOND)];
    second.calls += 1;
    const isCounted = this.time.nowMs >= WARM_UP_MS;
    if (isCounted) this.calls += 1;
    const tried = new Set<Runner>();
    let runner = entry.groups.runnerForNewRequest();
    while (runner !== undefined && tried.size < MAXIMUM_ATTEMPTS) {
      entry.pool.start(runner);
      if (!this.isRefusing(groupAt(runner.server.address))) {
        second.placed += 1;
        this.startStream(entry, runner, isCounted);
        return;
      }
      this.refusals += 1;
      entry.pool.release(runner, "full");
      entry.groups.onRefused(runner);
      tried.add(runner);
      runner = entry.groups.runnerForMovedRequest(tried);
    }
  }

  private entryForCall(): Entry {
    const { entries, random } = this;
    const { shift } = this.options;
    const { nowMs } = this.time;
    const isShifted =
      shift !== undefined && nowMs >= shift.fromMs && nowMs < shift.toMs;
    if (isShifted && random() < shift.share) return entries[0];
    return entries[Math.floor(random() * entries.length)];
  }

  private startStream(
    entry: Entry,
    runner: Runner,
    isCounted: boolean,
    onEnded?: Stream["onEnded"],
  ): void {
    const eventAtMs = this.time.nowMs;
    const stream = {
      entry,
      runner,
      isCounted,
      eventAtMs,
      events: 0,
      isLate: false,
      onEnded,
      firstEventAtMs: eventAtMs,
    };
    this.streams[groupAt(runner.server.address)].add(stream);
  }

  private isRefusing(group: number): boolean {
    const { fromMs, toMs } = this.options.outage;
    const { nowMs } = this.time;
    return group === 0 && nowMs >= fromMs && nowMs < toMs;
  }

  private scheduleStep(group: number): void {
    const slowness = group === 0 ? this.options.slowness : 1;
    const meanMs =
      slowness *
      (MINIMUM_STEP_MS + STEP_MS_PER_STREAM * this.streams[group].size);
    const stepMs =
      meanMs * this.nextVariation(group, meanMs) + this.nextHoldMs(meanMs);
    this.time.schedule(stepMs, () => {
      for (const stream of this.streams[group]) this.onEvent(stream);
      this.scheduleStep(group);
    });
  }

  /** Factor of the group's next step; autocorrelated, with mean 1. */
  private nextVariation(group: number, stepMs: number): number {
    const { stepVariation = 0 } = this.options;
    if (stepVariation === 0) return 1;
    const kept = Math.exp(-stepMs / VARIATION_TIME_MS);
    const noise = Math.sqrt(1 - kept ** 2) * normal(this.random);
    this.deviations[group] = kept * this.deviations[group] + noise;
    return Math.exp(stepVariation * this.deviations[group]);
  }

  private nextHoldMs(stepMs: number): number {
    if (this.options.hasHeldSteps !== true) return 0;
    const isHeld = this.random() < stepMs / HELD_STEP_INTERVAL_MS;
    return isHeld ? HELD_STEP_MS : 0;
  }

  private onEvent(stream: Stream): void {
    const { entry, runner } = stream;
    const pauseMs = this.time.nowMs - stream.eventAtMs;
    stream.eventAtMs = this.time.nowMs;
    stream.events += 1;
    if (stream.events === 1) {
      stream.firstEventAtMs = this.time.nowMs;
      entry.groups.onAccepted(runner);
    } else {
      entry.groups.onPause(runner, pauseMs, this.controlledObjectiveMs);
      stream.isLate ||= pauseMs > OBJECTIVE_MS;
    }
    if (stream.events < EVENTS_PER_STREAM) return;
    this.streams[groupAt(runner.server.address)].delete(stream);
    entry.pool.release(runner, "served");
    stream.onEnded?.(!stream.isLate, stream.firstEventAtMs);
    if (!stream.isCounted) return;
    if (stream.isLate) this.late += 1;
    else this.inTime += 1;
  }

  /** Without an objective, the adaptive limit grows up to the slots. */
  private get controlledObjectiveMs(): number {
    return this.options.fixedLimit === undefined
      ? OBJECTIVE_MS
      : Number.POSITIVE_INFINITY;
  }
}

/** Box-Muller transform. */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
