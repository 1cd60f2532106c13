/**
 * The groups of one service's runners: how many requests each can serve within
 * the objective, and whether it refuses. Runners without a known group, such as
 * those of a plain service, form a single group.
 */
import type { Emit, Measurements, Now, WaitingRequests } from "../internal.js";
import type {
  EntryLoad,
  PriorityLoad,
  ReadGroupLoad,
} from "../loadview/types.js";
import type { BackendServer } from "../membership/types.js";
import { NO_GROUP } from "../membership/runner-groups.js";
import { CircuitBreaker } from "./circuit-breaker.js";
import {
  orderForMovedRequest,
  orderForNewRequest,
  type GroupLoad,
} from "./group-choice.js";
import { ConcurrencyLimit } from "./concurrency-limit.js";
import { GroupShare } from "./group-share.js";
import { PlainLimit } from "./plain-limit.js";
import {
  PlainService,
  excusedCount,
  type StartedRequest,
} from "./plain-service.js";
import { PriorityUsage } from "./priority-usage.js";
import type { RunnerPool } from "./runner-pool.js";
import type { Runner, RunnerVerdict, SlotUsage } from "./runner.js";

/** `address`: host:port of a runner. */
export type GroupOf = (address: string) => string;

/** Whether the service's runners have engines, whose streams show the load. */
export type HasEngine = (service: string) => boolean;

export interface ServiceGroupsOptions {
  readonly now: Now;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly service: string;
  readonly pool: RunnerPool;
  readonly groupOf: GroupOf;
  /** Without it, the entry decides by itself. */
  readonly groupLoad?: ReadGroupLoad;
  /** By default, every service has engines. */
  readonly hasEngine?: HasEngine;
}

/** A request of which an attempt runs at a runner. */
type GroupRequest = StartedRequest & Pick<PriorityLoad, "priority">;

interface Group {
  readonly share: GroupShare;
  readonly concurrencyLimit: ConcurrencyLimit;
  /** Used instead while the service has neither engines nor streams. */
  readonly plainLimit: PlainLimit;
  readonly breaker: CircuitBreaker;
}

const NO_RUNNERS: ReadonlySet<Runner> = new Set();

export class ServiceGroups {
  private readonly groups = new Map<string, Group>();
  private readonly usage = PriorityUsage.create();
  private readonly plainService: PlainService;

  private constructor(private readonly options: ServiceGroupsOptions) {
    this.plainService = PlainService.create(options.now);
  }

  static create(options: ServiceGroupsOptions): ServiceGroups {
    return new ServiceGroups(options);
  }

  /** Whether all groups refuse requests. */
  get isUnavailable(): boolean {
    const loads = this.groupLoads();
    return loads.length > 0 && loads.every(({ isRefusing }) => isRefusing);
  }

  /** Monotonic time of the last event of any stream of the service, ms. */
  get lastEventAtMs(): number {
    const eventTimesMs = Array.from(
      this.groups.values(),
      ({ concurrencyLimit }) => {
        return concurrencyLimit.lastEventAtMs;
      },
    );
    return Math.max(Number.NEGATIVE_INFINITY, ...eventTimesMs);
  }

  /**
   * Registrations of runners in groups in which this entry's streams are late.
   */
  get lateServers(): readonly BackendServer[] {
    const { pool, groupOf } = this.options;
    return pool.servers.filter(
      ({ address }) =>
        this.groups.get(groupOf(address))?.concurrencyLimit.isLate,
    );
  }

  /**
   * What this entry runs and holds back in each group, or in the service where
   * it has a single group. Waiting requests are for any group of the service, so
   * they are divided by the groups' limits.
   */
  ownLoads(waiting: readonly WaitingRequests[]): readonly EntryLoad[] {
    const loads = this.groupLoads();
    const total = loads.reduce((sum, { limit }) => sum + limit, 0);
    let before = 0;
    return loads.map(({ name, limit }) => {
      const from = before / Math.max(1, total);
      before += limit;
      const to = before / Math.max(1, total);
      return this.groupNamed(name).share.report(
        this.prioritiesIn(name, waiting, from, to),
      );
    });
  }

  /**
   * Selects a runner for a new request. May use up a trial of a circuit
   * breaker.
   */
  runnerForNewRequest(priority = 0): Runner | undefined {
    const loads = this.groupLoads(priority);
    const hasAlternative = loads.some(({ isRefusing }) => !isRefusing);
    for (const { name } of orderForNewRequest(loads)) {
      const runner = this.selectRunner(name, NO_RUNNERS);
      if (runner === undefined) continue;
      if (this.groupNamed(name).breaker.tryStart(hasAlternative)) return runner;
    }
    return undefined;
  }

  /** Selects a runner for an admitted request that has lost its runner. */
  runnerForMovedRequest(excluded: ReadonlySet<Runner>): Runner | undefined {
    const { groupOf } = this.options;
    const tried = Array.from(excluded, ({ server }) => groupOf(server.address));
    for (const { name } of orderForMovedRequest(
      this.groupLoads(),
      new Set(tried),
    )) {
      const runner = this.selectRunner(name, excluded);
      if (runner !== undefined) return runner;
    }
    return undefined;
  }

  /** `route`: name of the route. */
  setObjective(route: string, objectiveMs: number): void {
    this.plainService.setObjective(route, objectiveMs);
  }

  /** An attempt of the request starts at the runner. */
  onStarted(runner: Runner, request: GroupRequest): void {
    this.usage.onStarted(runner, request.priority);
    if (this.isPlain) this.plainService.onStarted(runner, request);
  }

  /**
   * An attempt of the request has ended; called before the pool releases it.
   * Returns the verdict that counts for the runner.
   */
  onEnded(
    runner: Runner,
    request: GroupRequest,
    verdict: RunnerVerdict,
  ): RunnerVerdict {
    this.usage.onReleased(runner, request.priority);
    if (!this.isPlain) return verdict;
    const ended = this.plainService.onEnded(runner, request, verdict);
    const name = this.options.groupOf(runner.server.address);
    const { plainLimit } = this.groupNamed(name);
    if (verdict === "full") plainLimit.onRefused();
    if (ended.response !== undefined) {
      const { durationMs, objectiveMs } = ended.response;
      const { running, slots } = this.plainUsage(name);
      plainLimit.onResponse(durationMs, objectiveMs, running, slots);
      const { measurements, service } = this.options;
      const limit = plainLimit.limitFor(slots);
      measurements.set("groupLimit", limit, { group: service });
    }
    return ended.verdict;
  }

  /** A runner has started to respond. */
  onAccepted(runner: Runner): void {
    this.groupOfRunner(runner).breaker.onAccepted();
  }

  /** A runner has refused a request without running it. */
  onRefused(runner: Runner): void {
    this.groupOfRunner(runner).breaker.onRefused(runner.server.id);
  }

  /**
   * The runner has restarted: drops the refusals of its earlier incarnation.
   */
  forgetRunner(runner: string): void {
    for (const { breaker } of this.groups.values())
      breaker.forgetRunner(runner);
  }

  /** The group's planner reports that the group is complete. */
  onFormed(name: string): void {
    this.groups.get(name)?.breaker.onAccepted("formed");
  }

  /** Records that a stream's event came `pauseMs` after the previous one. */
  onPause(runner: Runner, pauseMs: number, objectiveMs: number): void {
    const { groupOf, pool } = this.options;
    const name = groupOf(runner.server.address);
    const { concurrencyLimit } = this.groupNamed(name);
    concurrencyLimit.onPause(pauseMs, objectiveMs, () =>
      pool.countRunning(this.isInGroup(name)),
    );
  }

  private selectRunner(
    name: string,
    excluded: ReadonlySet<Runner>,
  ): Runner | undefined {
    const { pool } = this.options;
    if (!this.isPlain) return pool.selectRunner(excluded, this.isInGroup(name));
    return pool.selectRunner(excluded, this.isInGroup(name), (runner, score) =>
      this.plainService.weigh(runner, score),
    );
  }

  /** Whether nothing but whole responses shows the load of the runners. */
  private get isPlain(): boolean {
    const { hasEngine, service } = this.options;
    if (hasEngine === undefined || hasEngine(service)) return false;
    return this.lastEventAtMs === Number.NEGATIVE_INFINITY;
  }

  /** Requests that count against the limit, and places of usable runners. */
  private plainUsage(name: string): SlotUsage {
    const { pool } = this.options;
    const isCounted = this.isInGroup(name);
    const slots = pool.availableSlots(isCounted);
    const hung = pool.countRunning(isCounted, (runner) =>
      this.plainService.hungAt(runner),
    );
    const excused = excusedCount(hung, slots);
    // A hung request may still take its runner's place.
    return {
      running: pool.countRunning(isCounted) - excused,
      slots: slots - excused,
    };
  }

  private isInGroup(name: string): (runner: Runner) => boolean {
    const { groupOf } = this.options;
    return ({ server }) => groupOf(server.address) === name;
  }

  /** Includes the waiting requests between two parts of their number. */
  private prioritiesIn(
    name: string,
    waiting: readonly WaitingRequests[],
    from: number,
    to: number,
  ): readonly PriorityLoad[] {
    const nowMs = this.options.now();
    const running = this.usage.runningAt(this.isInGroup(name));
    const held = new Map(waiting.map((load) => [load.priority, load]));
    const priorities = new Set([...running.keys(), ...held.keys()]);
    return Array.from(priorities, (priority) => {
      const load = held.get(priority);
      const count = load?.waiting ?? 0;
      return {
        priority,
        running: running.get(priority) ?? 0,
        waiting: Math.round(to * count) - Math.round(from * count),
        oldestWaitMs: load === undefined ? 0 : nowMs - load.oldestArrivedAtMs,
      };
    });
  }

  /** `priority`: of the request that is to start; none if left out. */
  private groupLoads(priority = 0): readonly GroupLoad[] {
    const { pool, groupOf } = this.options;
    const usage = pool.slotUsageBy(({ server }) => groupOf(server.address));
    return Array.from(usage, ([name, { running, slots }]) => {
      const { concurrencyLimit, plainLimit, breaker, share } =
        this.groupNamed(name);
      const isRefusing = breaker.isOpen;
      if (this.isPlain) {
        const usage = this.plainUsage(name);
        const limit = plainLimit.limitFor(usage.slots);
        return { name, running: usage.running, limit, isRefusing };
      }
      share.update(slots);
      const limit =
        concurrencyLimit.limitFor(slots) - this.reservedIn(name, priority);
      return { name, running, limit, isRefusing };
    });
  }

  private reservedIn(name: string, priority: number): number {
    const { share } = this.groupNamed(name);
    if (!share.hasReserved) return 0;
    const running = this.usage.runningAt(this.isInGroup(name));
    return share.reservedBefore(priority, running);
  }

  private groupOfRunner({ server }: Runner): Group {
    return this.groupNamed(this.options.groupOf(server.address));
  }

  private groupNamed(name: string): Group {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const { now, emit, measurements, service } = this.options;
    const inputs = {
      now,
      emit,
      measurements,
      group: name === NO_GROUP ? service : name,
    };
    const concurrencyLimit = ConcurrencyLimit.create(inputs);
    const group = {
      concurrencyLimit,
      plainLimit: PlainLimit.create({ now }),
      share: GroupShare.create({
        ...inputs,
        concurrencyLimit,
        groupLoad: this.options.groupLoad ?? (() => undefined),
      }),
      breaker: this.createBreaker(inputs.group),
    };
    this.groups.set(name, group);
    return group;
  }

  private createBreaker(group: string): CircuitBreaker {
    const { now, emit, measurements } = this.options;
    const measure = (runners: readonly string[], value?: number): void => {
      for (const runner of runners) {
        const labels = { runner, cause: "breaker" };
        measurements.set("runnerHeldBack", value, labels);
      }
    };
    return CircuitBreaker.create({
      now,
      onOpened: (runners) => {
        emit(266, { group, runners: runners.join(",") });
        measure(runners, 1);
      },
      onClosed: (runners, cause) => {
        emit(267, { group, runners: runners.join(","), cause });
        measure(runners);
      },
    });
  }
}
