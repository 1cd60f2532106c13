/**
 * Decides when a request of a service may start and on which runner. Waiting,
 * order and refusal are admission's; the room is what the pace of the streams
 * allows.
 */
import { Left, Right, type Either } from "purify-ts/Either";
import {
  Admission,
  RetryAllowance,
  createDeferred,
  failure,
  type AdmissionRequest,
  type Deferred,
  type Emit,
  type Now,
  type Random,
  type Refusal,
} from "../internal.js";
import type { BackendServer } from "../membership/types.js";
import type { Route } from "../routing/types.js";
import type { LateService } from "./pace-inquiry.js";
import type { RunnerConnections } from "./runner-connections.js";
import {
  RunnerPool,
  type IsSlow,
  type Runner,
  type Verdict,
} from "./runner-pool.js";
import { ServiceGroups, type GroupOf } from "./service-groups.js";
import type { Call } from "./types.js";

export interface ServiceGateInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly dataCentre: string;
  readonly connect: (address: string) => RunnerConnections;
  readonly isSlow: IsSlow;
  readonly groupOf: GroupOf;
}

/** A request that has its place at a runner. */
export interface Admitted {
  readonly request: AdmissionRequest;
  readonly runner: Runner;
}

interface ServiceState {
  readonly pool: RunnerPool;
  readonly groups: ServiceGroups;
  readonly retries: RetryAllowance;
}

/** Resolves with a place, or with why there is none. */
type Pending = Deferred<Either<Refusal, Runner>>;

/** No runner at all: one that is replaced takes about this long to come, ms. */
const NOBODY_RETRY_MS = 500;

/** Waiting work that one entry holds, tokens; the deadline binds long before. */
const QUEUE_TOKENS = 1_000_000;

/**
 * Part of the objective that a request may wait in the queue. A late answer
 * beats a refusal; a longer wait only makes those behind it late as well.
 */
const QUEUE_SHARE_OF_OBJECTIVE = 1;

/**
 * The same while no runner of the service takes anything, ms. A group that lost
 * its ranks forms within about a second, and a caller that waits for it is
 * served late, where one that is refused is often lost: it has come back once.
 */
const OUTAGE_QUEUE_MS = 1200;

/**
 * Repeats that one entry can save up for a service. Deployments allow about a
 * hundred a service and window over all entries, beside a fifth of its
 * requests; a dozen entries stay within that.
 */
const SAVED_RETRIES = 8;

/** Share of a new answer in the mean time of a route's answers. */
const DURATION_SHARE = 0.1;

/**
 * A queue looks for room at least this often, ms: a full runner's pause ends
 * without an event of its own.
 */
const LONGEST_SWEEP_MS = 50;

/** Plain requests are charged by their number. */
const LEAST_COST = 1;

export class ServiceGate {
  private readonly services = new Map<string, ServiceState>();
  private readonly pending = new Map<string, Pending>();
  private readonly durations = new Map<string, number>();
  private readonly admission: Admission;
  private sweepTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly inputs: ServiceGateInputs) {
    const { now, random, emit } = inputs;
    this.admission = Admission.create({
      now,
      random,
      emit,
      entries: () => 1,
      start: (request) => this.start(request),
      giveUp: ({ id }, refusal) => {
        this.settle(id, Left(refusal));
      },
    });
  }

  static create(inputs: ServiceGateInputs): ServiceGate {
    return new ServiceGate(inputs);
  }

  get waitingCount(): number {
    return this.admission.waitingCount;
  }

  setServer(server: BackendServer): void {
    for (const [service, { pool }] of this.services) {
      // An id belongs to one service, whatever it registered for before.
      if (service !== server.service) pool.remove(server.id);
    }
    this.serviceOf(server.service).pool.set(server);
    this.admission.drain(server.service);
  }

  removeServer(id: string): void {
    for (const { pool } of this.services.values()) pool.remove(id);
  }

  /**
   * A later life has begun under the id or at the address of the earlier one,
   * of which nothing counts any more.
   */
  endLife(earlier: BackendServer, later: BackendServer): void {
    for (const { pool, groups } of this.services.values()) {
      pool.endLife(earlier, later);
      groups.forget(earlier.id);
    }
  }

  /** The group has formed anew: what it refused before says nothing. */
  onGroupFormed(group: string): void {
    for (const [service, { groups }] of this.services) {
      groups.onFormed(group);
      this.admission.drain(service);
    }
  }

  /** Resolves with a place, or with why there is none. */
  async enter(call: Call): Promise<Either<Refusal, Admitted>> {
    const { pool } = this.serviceOf(call.service);
    if (pool.size === 0) return Left(nobody(call));
    const request = this.admissionOf(call);
    const pending: Pending = createDeferred();
    this.pending.set(request.id, pending);
    const offer = this.admission.offer(request);
    if (offer.kind === "refused") this.settle(request.id, Left(offer));
    if (offer.kind === "queued") this.scheduleSweep();
    const placed = await pending.promise;
    return placed.map((runner) => ({ request, runner }));
  }

  /** Ends the wait of a request whose caller went away or whose time is over. */
  cancel(id: string, refusal: Refusal): void {
    this.admission.cancel(id);
    this.settle(id, Left(refusal));
  }

  /** Services of which a group's streams of this entry are late. */
  lateServices(): readonly LateService[] {
    return [...this.services]
      .map(([name, { groups }]) => ({ name, runners: groups.lateServers }))
      .filter(({ runners }) => runners.length > 0);
  }

  /** Another runner for an admitted request, which keeps its place. */
  moveOn(
    admitted: Admitted,
    excluded: ReadonlySet<Runner>,
  ): Admitted | undefined {
    const { pool, groups } = this.serviceOf(admitted.request.pool);
    const runner = groups.runnerToMoveTo(excluded);
    if (runner === undefined) return undefined;
    pool.start(runner);
    return { ...admitted, runner };
  }

  /** Whether a stream had better go on at another runner. */
  isBetterElsewhere(
    { request, runner }: Admitted,
    tried: ReadonlySet<Runner>,
  ): boolean {
    if (!this.isSlow(runner)) return false;
    const { groups } = this.serviceOf(request.pool);
    const other = groups.runnerToMoveTo(tried);
    return other !== undefined && !this.isSlow(other);
  }

  /** A connection to the runner has fallen silent. */
  onSilent({ request, runner }: Admitted): void {
    this.serviceOf(request.pool).pool.renew(runner);
  }

  /** The attempt at the runner has ended. */
  release({ request, runner }: Admitted, verdict: Verdict): void {
    const { pool, groups } = this.serviceOf(request.pool);
    pool.release(runner, verdict);
    if (verdict === "served") groups.onAccepted(runner);
    const isRefused = verdict === "full" || verdict === "replaced";
    if (isRefused && !runner.isEnded) groups.onRefused(runner);
  }

  /** The request is over; its place is free. */
  leave({ request }: Admitted, durationMs: number | undefined): void {
    const { costTokens, profile } = request;
    if (durationMs !== undefined) this.learnDuration(profile, durationMs);
    this.admission.onEnded(request, { costTokens, durationMs });
  }

  /** Whether all runners of the service refuse. */
  isOut(service: string): boolean {
    return this.serviceOf(service).groups.isOut;
  }

  /** The runner has begun to answer. */
  onAccepted({ request, runner }: Admitted): void {
    this.serviceOf(request.pool).groups.onAccepted(runner);
  }

  /** An event of a stream came `pauseMs` after the one before. */
  onPause(
    { request, runner }: Admitted,
    pauseMs: number,
    objectiveMs: number,
  ): void {
    const { groups } = this.serviceOf(request.pool);
    groups.onPause(runner, pauseMs, objectiveMs);
  }

  retriesOf(service: string): RetryAllowance {
    return this.serviceOf(service).retries;
  }

  /** Monotonic time of the last event of any stream of the service, ms. */
  lastEventAtMs(service: string): number {
    return this.serviceOf(service).groups.lastEventAtMs;
  }

  async close(): Promise<void> {
    clearTimeout(this.sweepTimer);
    const states = [...this.services.values()];
    await Promise.all(states.map(({ pool }) => pool.close()));
  }

  private start(request: AdmissionRequest): boolean {
    const { pool, groups } = this.serviceOf(request.pool);
    const runner = groups.runnerToStart();
    if (runner === undefined) return false;
    pool.start(runner);
    this.settle(request.id, Right(runner));
    return true;
  }

  private isSlow({ server }: Runner): boolean {
    return this.inputs.isSlow(server.address, server.startedAtMs);
  }

  private longestWaitMs({ route, service }: Call): number {
    const waitMs = route.objectiveMs * QUEUE_SHARE_OF_OBJECTIVE;
    return this.isOut(service) ? Math.max(OUTAGE_QUEUE_MS, waitMs) : waitMs;
  }

  private settle(id: string, result: Either<Refusal, Runner>): void {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    pending?.resolve(result);
  }

  private admissionOf(call: Call): AdmissionRequest {
    const { route, fields, account = "", service } = call;
    return {
      id: call.id,
      account,
      weight: 1,
      pool: service,
      profile: route.name,
      priority: call.priority,
      costTokens: fields.promptTokens + LEAST_COST,
      serviceMs: this.durations.get(route.name) ?? 0,
      arrivedAtMs: call.arrivedAtMs,
      deadlineAtMs: call.dueAtMs,
      queue: {
        maximumTokens: QUEUE_TOKENS,
        maximumWaitMs: this.longestWaitMs(call),
      },
      concurrency: Number.POSITIVE_INFINITY,
    };
  }

  private learnDuration(profile: Route["name"], durationMs: number): void {
    const known = this.durations.get(profile) ?? durationMs;
    const change = DURATION_SHARE * (durationMs - known);
    this.durations.set(profile, known + change);
  }

  private scheduleSweep(): void {
    if (this.sweepTimer !== undefined) return;
    const waitMs = this.admission.nextGiveUpAtMs - this.inputs.now();
    if (!Number.isFinite(waitMs)) return;
    this.sweepTimer = setTimeout(
      () => {
        this.sweepTimer = undefined;
        for (const service of this.services.keys()) {
          this.admission.drain(service);
        }
        if (this.admission.waitingCount > 0) this.scheduleSweep();
      },
      Math.max(1, Math.min(waitMs, LONGEST_SWEEP_MS)),
    );
  }

  private serviceOf(name: string): ServiceState {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const { random, emit } = this.inputs;
    const pool = RunnerPool.create(this.inputs);
    const state = {
      pool,
      groups: ServiceGroups.create({ ...this.inputs, service: name, pool }),
      retries: RetryAllowance.create({
        pool: name,
        random,
        emit,
        mostRetries: SAVED_RETRIES,
      }),
    };
    this.services.set(name, state);
    return state;
  }
}

function nobody(call: Call): Refusal {
  return {
    error: failure(1209, { pool: call.service }),
    retryAfterMs: NOBODY_RETRY_MS,
  };
}
