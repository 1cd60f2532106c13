/**
 * Connects admission and placement to the sessions of one entry: queues
 * accepted requests, dispatches them when a runner has capacity and refuses the
 * ones that can't be served.
 */
import {
  Admission,
  OutputEstimate,
  Placement,
  RetryAllowance,
  failure,
  isAnswer,
  type AdmissionRequest,
  type Call,
  type PlacementChoice,
  type Configuration,
  type PlacementRequest,
  type Refusal,
} from "../../internal.js";
import type { ProcessContext } from "../process-context.js";
import type { EntrySettings } from "../settings.js";
import type { BackendDirectory } from "./backend-directory.js";
import { createOpenRequest, type OpenRequest } from "./open-request.js";
import { RunnerSync } from "./runner-sync.js";
import type { RequestEffect, Sessions } from "./sessions.js";
import type { CallerRequest } from "./caller-request.js";

export interface RequestDispatcherOptions {
  readonly context: ProcessContext;
  readonly settings: EntrySettings["placement"];
  readonly sessions: Sessions;
  readonly directory: BackendDirectory;
  /** Returns undefined before the first version is in force. */
  readonly configuration: () => Configuration | undefined;
}

/**
 * Interval at which queued requests look for capacity, since capacity freed by
 * other entries shows only in load reports. It is a tenth of the shortest time
 * to first token that callers see.
 */
const TICK_INTERVAL_MS = 10;
/**
 * Ticks between runner syncs; placement may learn of a new session this late.
 */
const RUNNER_SYNC_TICKS = 10;
/**
 * A replacement VM takes seconds to start, so earlier retries would fail too.
 */
const NO_RUNNER_RETRY_AFTER_MS = 1000;

export class RequestDispatcher implements Disposable {
  private readonly openRequests = new Map<string, OpenRequest>();
  private readonly placement: Placement;
  private readonly admission: Admission;
  private readonly outputs = OutputEstimate.create();
  private readonly retryAllowances = new Map<string, RetryAllowance>();
  private readonly timer: NodeJS.Timeout;
  private tickCount = 0;
  private readonly runnerSync: RunnerSync;

  private constructor(private readonly options: RequestDispatcherOptions) {
    const { context, settings, directory } = options;
    const { emit, dataCentre } = context;
    const now = (): number => performance.now();
    const random = Math.random;
    const { farMs, ...tuning } = settings;
    this.placement = Placement.create({
      now,
      random,
      emit,
      settings: {
        ...tuning,
        dataCentre,
        distanceMs: (other) => (other === dataCentre ? 0 : farMs),
        kvTransfer: undefined,
      },
    });
    this.admission = Admission.create({
      now,
      random,
      emit,
      countLiveEntries: () => directory.entryCount,
      start: (request) => this.start(request),
      giveUp: ({ id }, refusal) => {
        this.refuse(id, refusal);
      },
    });
    this.runnerSync = RunnerSync.create({
      placement: this.placement,
      directory,
      configuration: options.configuration,
      slots: settings.slots,
    });
    this.timer = setInterval(() => {
      this.tick();
    }, TICK_INTERVAL_MS);
  }

  static create(options: RequestDispatcherOptions): RequestDispatcher {
    return new RequestDispatcher(options);
  }

  /** Number of requests waiting for capacity. */
  get waitingCount(): number {
    return this.admission.waitingCount;
  }

  /**
   * Places a request: a new one, or one whose last attempt was refused or may
   * be retried.
   */
  place(callerRequest: CallerRequest): void {
    const existing = this.openRequests.get(callerRequest.id);
    if (existing !== undefined) {
      this.placeAfterDelay(existing);
      return;
    }
    const openRequest = this.createOpenRequest(callerRequest);
    this.openRequests.set(callerRequest.id, openRequest);
    const offer = this.admission.offer(openRequest.admission);
    if (offer.kind === "refused") this.refuse(callerRequest.id, offer);
  }

  /** Decides whether a request whose last run may have started is retried. */
  mayRetry(call: Call): boolean {
    const openRequest = this.openRequests.get(call.request);
    if (openRequest === undefined) return false;
    const delayMs = this.retryAllowanceOf(openRequest.admission.pool).takeRetry(
      openRequest.attempts,
    );
    openRequest.retryDelayMs = delayMs ?? 0;
    return delayMs !== undefined;
  }

  onEffect(id: string, effect: RequestEffect): void {
    const openRequest = this.openRequests.get(id);
    if (openRequest === undefined) return;
    if (effect.kind === "piece") openRequest.pieceCount += 1;
    if (effect.kind === "run-over") this.onRunOver(openRequest, effect.result);
    if (effect.kind === "finish") {
      this.finish(openRequest, isAnswer(effect.outcome));
    }
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private createOpenRequest(callerRequest: CallerRequest): OpenRequest {
    const { settings, configuration } = this.options;
    const accounts = configuration()?.accounts;
    const account = accounts?.find(
      ({ name }) => name === callerRequest.account,
    );
    return createOpenRequest(callerRequest, account, this.outputs, settings);
  }

  /** Called by admission; returns false to keep the request in the queue. */
  private start({ id }: AdmissionRequest): boolean {
    const openRequest = this.openRequests.get(id);
    if (openRequest === undefined) return true;
    for (;;) {
      const request = this.createPlacementRequest(openRequest);
      const choice = this.chooseRunner(request);
      if (choice === undefined) return this.refuseWithoutRunner(openRequest);
      if (!choice.hasRoom) return false;
      const dispatched = this.options.sessions.dispatch(id, choice.runner);
      if (dispatched.isRight()) {
        this.onDispatched(openRequest, request, choice);
        return true;
      }
      openRequest.excluded = [...openRequest.excluded, choice.runner];
    }
  }

  private chooseRunner(request: PlacementRequest): PlacementChoice | undefined {
    const chosen = this.placement.choose(request);
    if (chosen.isRight()) return chosen.unsafeCoerce();
    // Sessions may have opened since the last sync.
    this.runnerSync.sync();
    return this.placement.choose(request).toMaybe().extract();
  }

  /** Refuses at once: no runner serves the pool, or all of them refused. */
  private refuseWithoutRunner(openRequest: OpenRequest): boolean {
    openRequest.isRunning = true;
    const error = failure(1209, { pool: openRequest.admission.pool });
    // Admission is still starting the request; it must not end before that.
    queueMicrotask(() => {
      this.refuse(openRequest.callerRequest.id, {
        error,
        retryAfterMs: NO_RUNNER_RETRY_AFTER_MS,
      });
    });
    return true;
  }

  private onDispatched(
    openRequest: OpenRequest,
    request: PlacementRequest,
    choice: PlacementChoice,
  ): void {
    const placedRequest = { request, choice };
    openRequest.placedRequest = placedRequest;
    openRequest.isRunning = true;
    openRequest.attempts += 1;
    openRequest.sentAtMs = performance.now();
    this.placement.onStarted(placedRequest);
  }

  private createPlacementRequest(openRequest: OpenRequest): PlacementRequest {
    const { admission, promptTokens, prefix, excluded } = openRequest;
    const { pool, priority, costTokens } = admission;
    const outputTokens = costTokens - promptTokens;
    return { pool, priority, promptTokens, outputTokens, prefix, excluded };
  }

  private placeAfterDelay(openRequest: OpenRequest): void {
    const { retryDelayMs } = openRequest;
    openRequest.retryDelayMs = 0;
    if (retryDelayMs === 0) this.requeue(openRequest);
    else {
      setTimeout(() => {
        if (this.openRequests.has(openRequest.callerRequest.id))
          this.requeue(openRequest);
      }, retryDelayMs);
    }
  }

  private requeue(openRequest: OpenRequest): void {
    openRequest.isRunning = false;
    this.admission.requeue(openRequest.admission);
    this.admission.drain(openRequest.admission.pool);
  }

  private onRunOver(
    openRequest: OpenRequest,
    result: Extract<RequestEffect, { kind: "run-over" }>["result"],
  ): void {
    const { placedRequest } = openRequest;
    if (placedRequest === undefined) return;
    openRequest.placedRequest = undefined;
    const { runner } = placedRequest.choice;
    switch (result) {
      case "answered":
        this.placement.onEnded(
          placedRequest,
          performance.now() - openRequest.sentAtMs,
        );
        break;
      case "refused":
        this.placement.onRefused(placedRequest);
        break;
      case "broken":
      case "lost":
        openRequest.excluded = [...openRequest.excluded, runner];
        this.placement.onFailed(placedRequest);
    }
  }

  private finish(openRequest: OpenRequest, isAnswered: boolean): void {
    const { callerRequest, admission, placedRequest } = openRequest;
    this.openRequests.delete(callerRequest.id);
    if (placedRequest !== undefined) {
      if (isAnswered) this.onRunOver(openRequest, "answered");
      else this.placement.onCancelled(placedRequest);
    }
    if (!openRequest.isRunning) {
      this.admission.cancel(callerRequest.id);
      return;
    }
    if (isAnswered) this.retryAllowanceOf(admission.pool).onSuccess();
    const countsOutput = isAnswered && callerRequest.streamed;
    if (countsOutput) {
      this.outputs.onAnswered(
        callerRequest.account,
        callerRequest.profile.name,
        openRequest.pieceCount,
      );
    }
    this.admission.onEnded(admission, {
      costTokens: countsOutput
        ? openRequest.promptTokens + openRequest.pieceCount
        : admission.costTokens,
      durationMs: isAnswered
        ? performance.now() - openRequest.sentAtMs
        : undefined,
    });
  }

  private refuse(id: string, { error, retryAfterMs }: Refusal): void {
    const { measurements } = this.options.context;
    measurements.count("admissionRefused", { error: String(error.number) });
    this.options.sessions.refuse(id, error.number, retryAfterMs);
  }

  private retryAllowanceOf(pool: string): RetryAllowance {
    const existing = this.retryAllowances.get(pool);
    if (existing !== undefined) return existing;
    const { emit } = this.options.context;
    const created = RetryAllowance.create({ pool, random: Math.random, emit });
    this.retryAllowances.set(pool, created);
    return created;
  }

  private tick(): void {
    this.tickCount += 1;
    if (this.tickCount % RUNNER_SYNC_TICKS === 0) this.syncRunners();
    if (this.admission.waitingCount === 0) return;
    const pools = new Set<string>();
    for (const { isRunning, admission } of this.openRequests.values()) {
      if (!isRunning) pools.add(admission.pool);
    }
    for (const pool of pools) this.admission.drain(pool);
  }

  private syncRunners(): void {
    const { measurements } = this.options.context;
    this.runnerSync.sync();
    measurements.set("admissionWaiting", this.admission.waitingCount);
    measurements.set("runnersEjected", this.placement.ejectedCount);
  }
}
