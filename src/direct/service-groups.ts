/**
 * The groups of one service's runners: how much each serves within the
 * objective, and whether it refuses. Runners of which no group is known, such as
 * those of a plain service, count as one.
 */
import type { Emit, Now } from "../internal.js";
import type { BackendServer } from "../membership/types.js";
import { NO_GROUP } from "../membership/runner-groups.js";
import { CircuitBreaker } from "./circuit-breaker.js";
import {
  groupsToMoveTo,
  groupsToStartIn,
  type GroupLoad,
} from "./group-choice.js";
import { PaceLimit } from "./pace-limit.js";
import type { Runner, RunnerPool } from "./runner-pool.js";

/** `address`: host:port of a runner. */
export type GroupOf = (address: string) => string;

export interface ServiceGroupsOptions {
  readonly now: Now;
  readonly emit: Emit;
  readonly service: string;
  readonly pool: RunnerPool;
  readonly groupOf: GroupOf;
}

interface Group {
  readonly pace: PaceLimit;
  readonly breaker: CircuitBreaker;
}

const NOTHING_EXCLUDED: ReadonlySet<Runner> = new Set();

export class ServiceGroups {
  private readonly groups = new Map<string, Group>();

  private constructor(private readonly options: ServiceGroupsOptions) {}

  static create(options: ServiceGroupsOptions): ServiceGroups {
    return new ServiceGroups(options);
  }

  /** Whether all groups refuse. */
  get isOut(): boolean {
    const loads = this.loads();
    return loads.length > 0 && loads.every(({ isOut }) => isOut);
  }

  /** Monotonic time of the last event of any stream of the service, ms. */
  get lastEventAtMs(): number {
    const times = Array.from(this.groups.values(), ({ pace }) => {
      return pace.lastEventAtMs;
    });
    return Math.max(Number.NEGATIVE_INFINITY, ...times);
  }

  /** Registrations in groups whose streams of this entry are late. */
  get lateServers(): readonly BackendServer[] {
    const { pool, groupOf } = this.options;
    return pool.servers.filter(
      ({ address }) => this.groups.get(groupOf(address))?.pace.isLate,
    );
  }

  /** A runner for a new request; takes a trial if it is one. */
  runnerToStart(): Runner | undefined {
    const loads = this.loads();
    const hasAlternative = loads.some(({ isOut }) => !isOut);
    for (const { name } of groupsToStartIn(loads)) {
      const runner = this.choose(name, NOTHING_EXCLUDED);
      if (runner === undefined) continue;
      if (this.group(name).breaker.mayStart(hasAlternative)) return runner;
    }
    return undefined;
  }

  /** A runner for a request that keeps its place. */
  runnerToMoveTo(excluded: ReadonlySet<Runner>): Runner | undefined {
    const { groupOf } = this.options;
    const tried = Array.from(excluded, ({ server }) => groupOf(server.address));
    for (const { name } of groupsToMoveTo(this.loads(), new Set(tried))) {
      const runner = this.choose(name, excluded);
      if (runner !== undefined) return runner;
    }
    return undefined;
  }

  /** A runner has begun to answer. */
  onAccepted(runner: Runner): void {
    this.groupOf(runner).breaker.onAccepted();
  }

  /** A runner has said that it has not run a request. */
  onRefused(runner: Runner): void {
    this.groupOf(runner).breaker.onRefused(runner.server.id);
  }

  /** The runner has started again; what it refused before says nothing. */
  forget(runner: string): void {
    for (const { breaker } of this.groups.values()) breaker.forget(runner);
  }

  /** Its planner has seen the group whole. */
  onFormed(name: string): void {
    this.groups.get(name)?.breaker.onAccepted();
  }

  /** A stream's event came `pauseMs` after the one before. */
  onPause(runner: Runner, pauseMs: number, objectiveMs: number): void {
    const { groupOf, pool } = this.options;
    const name = groupOf(runner.server.address);
    const { pace } = this.group(name);
    pace.onPause(pauseMs, objectiveMs, () => pool.runningIn(this.isIn(name)));
  }

  private choose(
    name: string,
    excluded: ReadonlySet<Runner>,
  ): Runner | undefined {
    return this.options.pool.choose(excluded, this.isIn(name));
  }

  private isIn(name: string): (runner: Runner) => boolean {
    const { groupOf } = this.options;
    return ({ server }) => groupOf(server.address) === name;
  }

  private loads(): readonly GroupLoad[] {
    const { pool, groupOf } = this.options;
    const taken = pool.takenBy(({ server }) => groupOf(server.address));
    return Array.from(taken, ([name, { running, slots }]) => {
      const { pace, breaker } = this.group(name);
      const room = pace.roomFor(slots);
      return { name, running, room, isOut: breaker.isOpen };
    });
  }

  private groupOf({ server }: Runner): Group {
    return this.group(this.options.groupOf(server.address));
  }

  private group(name: string): Group {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const { now, emit, service } = this.options;
    const label = name === NO_GROUP ? service : name;
    const group = {
      pace: PaceLimit.create({ now, emit, group: label }),
      breaker: CircuitBreaker.create(now),
    };
    this.groups.set(name, group);
    return group;
  }
}
