/**
 * Carries out what admission and placement decide at one entry: takes accepted
 * requests, starts them when a runner has room, and answers the refused ones.
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
  type Choice,
  type Configuration,
  type PlacementRequest,
  type Refusal,
} from "../../internal.js";
import type { ProcessContext } from "../process-context.js";
import type { EntrySettings } from "../settings.js";
import type { BackendDirectory } from "./backend-directory.js";
import { openRequest, type OpenRequest } from "./open-request.js";
import { RunnerSync } from "./runner-sync.js";
import type { RequestEffect, Sessions } from "./sessions.js";
import type { Work } from "./work.js";

export interface RequestDispatcherOptions {
  readonly context: ProcessContext;
  readonly settings: EntrySettings["placement"];
  readonly sessions: Sessions;
  readonly directory: BackendDirectory;
  /** Undefined before the first version is in force. */
  readonly configuration: () => Configuration | undefined;
}

/**
 * Room that comes up elsewhere shows in reports only; a queued request looks
 * for it this often. A tenth of the shortest first token that callers see.
 */
const TICK_MS = 10;
/** Ticks between looks at all runners; a new session waits so long at most. */
const SYNC_TICKS = 10;
/** A replaced VM takes seconds to come; sooner repeats find nobody either. */
const NOBODY_RETRY_MS = 1000;

export class RequestDispatcher implements Disposable {
  private readonly open = new Map<string, OpenRequest>();
  private readonly placement: Placement;
  private readonly admission: Admission;
  private readonly outputs = OutputEstimate.create();
  private readonly retries = new Map<string, RetryAllowance>();
  private readonly timer: NodeJS.Timeout;
  private ticks = 0;
  private readonly runners: RunnerSync;

  private constructor(private readonly options: RequestDispatcherOptions) {
    const { context, settings, directory } = options;
    const { emit, dataCentre } = context;
    const now = (): number => performance.now();
    const random = Math.random;
    const { farMs, ...figures } = settings;
    this.placement = Placement.create({
      now,
      random,
      emit,
      settings: {
        ...figures,
        dataCentre,
        distanceMs: (other) => (other === dataCentre ? 0 : farMs),
        kvTransfer: undefined,
      },
    });
    this.admission = Admission.create({
      now,
      random,
      emit,
      entries: () => directory.entryCount,
      start: (request) => this.start(request),
      giveUp: ({ id }, refusal) => {
        this.refuse(id, refusal);
      },
    });
    this.runners = RunnerSync.create({
      placement: this.placement,
      directory,
      configuration: options.configuration,
      slots: settings.slots,
    });
    this.timer = setInterval(() => {
      this.tick();
    }, TICK_MS);
  }

  static create(options: RequestDispatcherOptions): RequestDispatcher {
    return new RequestDispatcher(options);
  }

  /** Requests that wait for room. */
  get waitingCount(): number {
    return this.admission.waitingCount;
  }

  /**
   * Takes a request that the session part wants placed: a new one, or one
   * whose last attempt was refused or may be repeated.
   */
  place(work: Work): void {
    const known = this.open.get(work.id);
    if (known !== undefined) {
      this.placeAgain(known);
      return;
    }
    const item = this.openRequest(work);
    this.open.set(work.id, item);
    const offer = this.admission.offer(item.admission);
    if (offer.kind === "refused") this.refuse(work.id, offer);
  }

  /** May a request whose work may have started be started again? */
  mayRetry(call: Call): boolean {
    const item = this.open.get(call.request);
    if (item === undefined) return false;
    const delayMs = this.retriesOf(item.admission.pool).spend(item.attempts);
    item.retryDelayMs = delayMs ?? 0;
    return delayMs !== undefined;
  }

  onEffect(id: string, effect: RequestEffect): void {
    const item = this.open.get(id);
    if (item === undefined) return;
    if (effect.kind === "piece") item.pieces += 1;
    if (effect.kind === "run-over") this.onRunOver(item, effect.result);
    if (effect.kind === "finish") {
      this.finish(item, isAnswer(effect.outcome));
    }
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private openRequest(work: Work): OpenRequest {
    const { settings, configuration } = this.options;
    const accounts = configuration()?.accounts;
    const account = accounts?.find(({ name }) => name === work.account);
    return openRequest(work, account, this.outputs, settings);
  }

  /** Called by admission; false leaves the request where it is. */
  private start({ id }: AdmissionRequest): boolean {
    const item = this.open.get(id);
    if (item === undefined) return true;
    for (;;) {
      const request = this.placementRequest(item);
      const choice = this.chooseRunner(request);
      if (choice === undefined) return this.startNowhere(item);
      if (!choice.hasRoom) return false;
      const sent = this.options.sessions.dispatch(id, choice.runner);
      if (sent.isRight()) {
        this.onSent(item, request, choice);
        return true;
      }
      item.excluded = [...item.excluded, choice.runner];
    }
  }

  private chooseRunner(request: PlacementRequest): Choice | undefined {
    const chosen = this.placement.choose(request);
    if (chosen.isRight()) return chosen.unsafeCoerce();
    // Sessions may have opened since the last look.
    this.runners.run();
    return this.placement.choose(request).toMaybe().extract();
  }

  /** Nobody serves the pool, or all have refused: nothing to wait for. */
  private startNowhere(item: OpenRequest): boolean {
    item.running = true;
    const error = failure(1209, { pool: item.admission.pool });
    // Admission is in the middle of starting it; its end comes after that.
    queueMicrotask(() => {
      this.refuse(item.work.id, { error, retryAfterMs: NOBODY_RETRY_MS });
    });
    return true;
  }

  private onSent(
    item: OpenRequest,
    request: PlacementRequest,
    choice: Choice,
  ): void {
    const placed = { request, choice };
    item.placed = placed;
    item.running = true;
    item.attempts += 1;
    item.sentAtMs = performance.now();
    this.placement.onStarted(placed);
  }

  private placementRequest(item: OpenRequest): PlacementRequest {
    const { admission, promptTokens, prefix, excluded } = item;
    const { pool, priority, costTokens } = admission;
    const outputTokens = costTokens - promptTokens;
    return { pool, priority, promptTokens, outputTokens, prefix, excluded };
  }

  private placeAgain(item: OpenRequest): void {
    const { retryDelayMs } = item;
    item.retryDelayMs = 0;
    if (retryDelayMs === 0) this.putBack(item);
    else {
      setTimeout(() => {
        if (this.open.has(item.work.id)) this.putBack(item);
      }, retryDelayMs);
    }
  }

  private putBack(item: OpenRequest): void {
    item.running = false;
    this.admission.putBack(item.admission);
    this.admission.drain(item.admission.pool);
  }

  private onRunOver(
    item: OpenRequest,
    result: Extract<RequestEffect, { kind: "run-over" }>["result"],
  ): void {
    const { placed } = item;
    if (placed === undefined) return;
    item.placed = undefined;
    const { runner } = placed.choice;
    switch (result) {
      case "answered":
        this.placement.onEnded(placed, performance.now() - item.sentAtMs);
        break;
      case "refused":
        this.placement.onRefused(placed);
        break;
      case "broken":
      case "lost":
        item.excluded = [...item.excluded, runner];
        this.placement.onFailed(placed);
    }
  }

  private finish(item: OpenRequest, isAnswered: boolean): void {
    const { work, admission, placed } = item;
    this.open.delete(work.id);
    if (placed !== undefined) {
      if (isAnswered) this.onRunOver(item, "answered");
      else this.placement.onCancelled(placed);
    }
    if (!item.running) {
      this.admission.cancel(work.id);
      return;
    }
    if (isAnswered) this.retriesOf(admission.pool).onSuccess();
    const isCounted = isAnswered && work.streamed;
    if (isCounted) {
      this.outputs.onAnswered(work.account, work.profile.name, item.pieces);
    }
    this.admission.onEnded(admission, {
      costTokens: isCounted
        ? item.promptTokens + item.pieces
        : admission.costTokens,
      durationMs: isAnswered ? performance.now() - item.sentAtMs : undefined,
    });
  }

  private refuse(id: string, { error, retryAfterMs }: Refusal): void {
    const { measurements } = this.options.context;
    measurements.count("admissionRefused", { error: String(error.number) });
    this.options.sessions.refuse(id, error.number, retryAfterMs);
  }

  private retriesOf(pool: string): RetryAllowance {
    const known = this.retries.get(pool);
    if (known !== undefined) return known;
    const { emit } = this.options.context;
    const created = RetryAllowance.create({ pool, random: Math.random, emit });
    this.retries.set(pool, created);
    return created;
  }

  private tick(): void {
    this.ticks += 1;
    if (this.ticks % SYNC_TICKS === 0) this.lookAround();
    if (this.admission.waitingCount === 0) return;
    const pools = new Set<string>();
    for (const { running, admission } of this.open.values()) {
      if (!running) pools.add(admission.pool);
    }
    for (const pool of pools) this.admission.drain(pool);
  }

  private lookAround(): void {
    const { measurements } = this.options.context;
    this.runners.run();
    measurements.set("admissionWaiting", this.admission.waitingCount);
    measurements.set("runnersEjected", this.placement.ejectedCount);
  }
}
