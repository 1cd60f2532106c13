/**
 * Decides when a request of a service may start, and on which runner. Admission
 * queues, orders and refuses requests; the concurrency limit follows from the
 * pauses of running streams.
 */
import { Left, Right, type Either } from "purify-ts/Either";
import {
  Admission,
  RetryAllowance,
  RoomForecast,
  createDeferred,
  type AdmissionRequest,
  type Deferred,
  type Emit,
  type Measurements,
  type Now,
  type Random,
  type Refusal,
} from "../internal.js";
import type { EntryLoad, ReadGroupLoad } from "../loadview/types.js";
import type { BackendServer } from "../membership/types.js";
import { admissionRequestOf } from "./admission-request.js";
import { noRunnerRefusal } from "./no-runner-refusal.js";
import { ReturningCallers } from "./returning-callers.js";
import { RouteTimes } from "./route-times.js";
import type { LateService } from "./slow-runner-probe.js";
import type { RunnerConnections } from "./runner-connections.js";
import { RunnerPool } from "./runner-pool.js";
import type {
  IsSlow,
  IsUsable,
  ReadStatements,
  RequestLimits,
  Runner,
  RunnerVerdict,
} from "./runner.js";
import {
  ServiceGroups,
  type GroupOf,
  type HasEngine,
} from "./service-groups.js";
import type { DirectCall } from "./types.js";

export interface RequestSchedulerInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly dataCentre: string;
  readonly connect: (address: string) => RunnerConnections;
  readonly isSlow: IsSlow;
  readonly limits: RequestLimits;
  /** By default every runner may get requests. */
  readonly isUsable?: IsUsable;
  /** By default no runner rests or leaves. */
  readonly statements?: ReadStatements;
  readonly groupOf: GroupOf;
  /** Without it, the entry decides by itself. */
  readonly groupLoad?: ReadGroupLoad;
  /** By default, every service has engines. */
  readonly hasEngine?: HasEngine;
}

/** An admitted request and the runner that it is assigned to. */
export interface AdmittedRequest {
  readonly request: AdmissionRequest;
  readonly runner: Runner;
}

interface ServiceState {
  readonly pool: RunnerPool;
  readonly groups: ServiceGroups;
  readonly retries: RetryAllowance;
}

interface Pending {
  readonly call: DirectCall;
  /** Resolves with a runner, or with the reason why there is none. */
  readonly outcome: Deferred<Either<Refusal, Runner>>;
}

/**
 * Maximum retries that one entry saves up for a service. Deployments allow
 * about a hundred retries per service and time window over all entries, plus a
 * fifth of the service's requests; a dozen entries stay within that.
 */
const MAXIMUM_SAVED_RETRIES = 8;

/**
 * Maximum interval at which queues are checked, ms: no event marks the end of a
 * full runner's backoff.
 */
const MAXIMUM_SWEEP_INTERVAL_MS = 50;

export class RequestScheduler {
  private readonly services = new Map<string, ServiceState>();
  private readonly pending = new Map<string, Pending>();
  private readonly times = RouteTimes.create();
  private readonly returning = ReturningCallers.create();
  private readonly forecast: RoomForecast;
  private readonly admission: Admission;
  private sweepTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly inputs: RequestSchedulerInputs) {
    const { now, random, emit } = inputs;
    this.forecast = RoomForecast.create({ now, random });
    this.admission = Admission.create({
      now,
      random,
      emit,
      countLiveEntries: () => 1,
      start: (request) => this.start(request),
      retryDelayMs: (request, waitMs) => this.forecast.delayMs(request, waitMs),
      giveUp: ({ id }, refusal) => {
        this.resolvePending(id, Left(refusal));
      },
    });
  }

  static create(inputs: RequestSchedulerInputs): RequestScheduler {
    return new RequestScheduler(inputs);
  }

  get waitingCount(): number {
    return this.admission.waitingCount;
  }

  setServer(server: BackendServer): void {
    for (const [service, { pool }] of this.services) {
      // A runner belongs to one service; remove it from those that it was
      // registered for before.
      if (service !== server.service) pool.remove(server.id);
    }
    this.serviceOf(server.service).pool.set(server);
    this.admission.drain(server.service);
  }

  removeServer(id: string): void {
    for (const { pool } of this.services.values()) pool.remove(id);
  }

  /**
   * A later incarnation has started under the id or at the address of the
   * earlier one, whose state no longer counts.
   */
  endIncarnation(earlier: BackendServer, later: BackendServer): void {
    for (const { pool, groups } of this.services.values()) {
      pool.endIncarnation(earlier, later);
      groups.forgetRunner(earlier.id);
    }
  }

  /** The group has formed again: its earlier refusals no longer count. */
  onGroupFormed(group: string): void {
    for (const [service, { groups }] of this.services) {
      groups.onFormed(group);
      this.admission.drain(service);
    }
  }

  /**
   * Evacuations, or what runners say of themselves, have changed which runners
   * may get requests: refuses the waiting requests of services without any, and
   * starts others that there is room for now.
   */
  onUsableRunnersChanged(): void {
    for (const [id, { call }] of [...this.pending]) {
      const refusal = this.refusalOf(call);
      if (refusal !== undefined) this.cancel(id, refusal);
    }
    for (const service of this.services.keys()) this.admission.drain(service);
  }

  /** Whether the request may still be sent to its runner. */
  mayBeSent({ request, runner }: AdmittedRequest): boolean {
    return this.serviceOf(request.pool).pool.mayReceive(runner);
  }

  /** Undefined if a runner of the call's service may get it. */
  refusalOf(call: DirectCall): Refusal | undefined {
    return noRunnerRefusal(call, this.serviceOf(call.service).pool);
  }

  /** Resolves with a runner, or with the reason why there is none. */
  async admit(call: DirectCall): Promise<Either<Refusal, AdmittedRequest>> {
    const { groups } = this.serviceOf(call.service);
    const isReturn = this.returning.isReturn(
      call.route.name,
      call.fields.deadlineMs,
    );
    const refusal = this.refusalOf(call);
    if (refusal !== undefined) {
      this.countRefusal(isReturn);
      return Left(refusal);
    }
    groups.setObjective(call.route.name, call.route.objectiveMs);
    const request = admissionRequestOf(
      call,
      this.times,
      this.isUnavailable(call.service),
      isReturn,
    );
    const pending: Pending = { call, outcome: createDeferred() };
    this.pending.set(request.id, pending);
    const offer = this.admission.offer(request);
    if (offer.kind === "refused") this.resolvePending(request.id, Left(offer));
    if (offer.kind === "queued") this.scheduleSweep();
    const placed = await pending.outcome.promise;
    if (placed.isLeft()) this.countRefusal(isReturn);
    return placed.map((runner) => ({ request, runner }));
  }

  /**
   * Removes a request from the queue because its caller has disconnected or its
   * deadline has passed.
   */
  cancel(id: string, refusal: Refusal): void {
    this.admission.cancel(id);
    this.resolvePending(id, Left(refusal));
  }

  /** Services with a group in which this entry's streams are late. */
  lateServices(): readonly LateService[] {
    return [...this.services]
      .map(([name, { groups }]) => ({ name, runners: groups.lateServers }))
      .filter(({ runners }) => runners.length > 0);
  }

  /** What this entry runs and holds back in each group of runners. */
  ownLoads(): readonly EntryLoad[] {
    return [...this.services].flatMap(([service, { groups }]) =>
      groups.ownLoads(this.admission.waitingIn(service)),
    );
  }

  /** Assigns another runner to an admitted request, which stays admitted. */
  reassign(
    admitted: AdmittedRequest,
    excluded: ReadonlySet<Runner>,
  ): AdmittedRequest | undefined {
    const { pool, groups } = this.serviceOf(admitted.request.pool);
    const runner = groups.runnerForMovedRequest(excluded);
    if (runner === undefined) return undefined;
    pool.start(runner);
    groups.onStarted(runner, admitted.request);
    return { ...admitted, runner };
  }

  /**
   * Whether the request's runner is slow and one that isn't slow is available.
   */
  hasFasterRunner(
    { request, runner }: AdmittedRequest,
    tried: ReadonlySet<Runner>,
  ): boolean {
    if (!this.isSlow(runner)) return false;
    const { groups } = this.serviceOf(request.pool);
    const other = groups.runnerForMovedRequest(tried);
    return other !== undefined && !this.isSlow(other);
  }

  /** Whether a runner that wasn't tried can take the request. */
  hasOtherRunner(
    { request }: AdmittedRequest,
    tried: ReadonlySet<Runner>,
  ): boolean {
    const { groups } = this.serviceOf(request.pool);
    return groups.runnerForMovedRequest(tried) !== undefined;
  }

  /** A connection to the runner has fallen silent: replaces its connections. */
  onConnectionSilent({ request, runner }: AdmittedRequest): void {
    this.serviceOf(request.pool).pool.replaceConnections(runner);
  }

  /** The attempt at the runner has ended. */
  release({ request, runner }: AdmittedRequest, verdict: RunnerVerdict): void {
    const { pool, groups } = this.serviceOf(request.pool);
    pool.release(runner, groups.onEnded(runner, request, verdict));
    if (verdict === "served") groups.onAccepted(runner);
    const isRefused = verdict === "full" || verdict === "replaced";
    if (isRefused && !runner.isEnded) groups.onRefused(runner);
  }

  /** The request has ended: frees its admission. */
  finish({ request }: AdmittedRequest, durationMs: number | undefined): void {
    const { costTokens, profile } = request;
    if (durationMs !== undefined) {
      this.times.onEnded(profile, durationMs);
      if (request.isReturn === true) this.countRefused("served-later");
    }
    this.admission.onEnded(request, { costTokens, durationMs });
  }

  /** Whether all groups of the service refuse requests. */
  isUnavailable(service: string): boolean {
    return this.serviceOf(service).groups.isUnavailable;
  }

  /** The runner has started to respond. */
  onAccepted({ request, runner }: AdmittedRequest): void {
    this.serviceOf(request.pool).groups.onAccepted(runner);
  }

  /** The response has started `delayMs` after the request left the queue. */
  onResponseStarted({ request }: AdmittedRequest, delayMs: number): void {
    this.times.onResponseStarted(request.profile, delayMs);
  }

  /**
   * Records that an event of a stream came `pauseMs` after the previous one.
   */
  onPause(
    { request, runner }: AdmittedRequest,
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
    const runner = groups.runnerForNewRequest(request.priority);
    if (runner === undefined) return false;
    pool.start(runner);
    groups.onStarted(runner, request);
    this.forecast.onStarted(request);
    this.resolvePending(request.id, Right(runner));
    return true;
  }

  private countRefusal(isReturn: boolean): void {
    this.countRefused(isReturn ? "refused-again" : "refused-once");
  }

  private countRefused(result: string): void {
    this.inputs.measurements.count("refusedCallers", { result });
  }

  private isSlow({ server }: Runner): boolean {
    return this.inputs.isSlow(server.address, server.startedAtMs);
  }

  private resolvePending(id: string, result: Either<Refusal, Runner>): void {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    pending?.outcome.resolve(result);
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
      Math.max(1, Math.min(waitMs, MAXIMUM_SWEEP_INTERVAL_MS)),
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
        maximumRetries: MAXIMUM_SAVED_RETRIES,
      }),
    };
    this.services.set(name, state);
    return state;
  }
}
