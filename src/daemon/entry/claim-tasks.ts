/**
 * Carries out what the claim coordinator decides: reads and appends the claim
 * streams, asks agents and hands each call its next step.
 */
import { v7 as uuidV7 } from "uuid";
import {
  CLAIM_SHARDS,
  ClaimCoordinator,
  claimStream,
  encodeClaimBatch,
  toFailure,
  type AgentChoice,
  type AttemptAnswer,
  type ClaimBatch,
  type ClaimEffect,
  type ClaimEntry,
  type ClaimRequest,
} from "../../internal.js";
import type { LogClient } from "../../platform/log-client.js";
import { pause } from "../background-task.js";
import type { ProcessContext } from "../process-context.js";

const LONG_POLL_MS = 2000;
const RETRY_PAUSE_MS = 200;
const BUSY_TICK_MS = 10;
const IDLE_TICK_MS = 100;

/** What a call has to do next. */
export type ClaimStep = Extract<
  ClaimEffect,
  { readonly kind: "dispatch" | "attach" | "refuse" }
>;

export interface ClaimTasksOptions {
  readonly context: ProcessContext;
  readonly log: LogClient;
  readonly appendsPerSecond: number;
  readonly ask: (
    claim: ClaimEntry,
    tombstone: boolean,
  ) => Promise<AttemptAnswer>;
}

interface WaitingCall {
  readonly begunAtMs: number;
  readonly choose: () => AgentChoice | undefined;
  readonly onStep: (step: ClaimStep) => void;
}

export class ClaimTasks {
  private readonly coordinator: ClaimCoordinator;
  private readonly calls = new Map<string, WaitingCall>();
  private readonly outages = new Map<number, number>();

  private constructor(private readonly options: ClaimTasksOptions) {
    const { context, appendsPerSecond } = options;
    this.coordinator = ClaimCoordinator.create({
      entry: context.name,
      entryIncarnation: context.incarnation,
      appendsPerSecond,
      newAttempt: uuidV7,
      chooseAgent: (call) => this.calls.get(call)?.choose(),
      emit: context.emit,
    });
  }

  static create(options: ClaimTasksOptions): ClaimTasks {
    return new ClaimTasks(options);
  }

  /** `onStep` hears of every step of the call until its end. */
  begin(
    request: ClaimRequest,
    choose: () => AgentChoice | undefined,
    onStep: (step: ClaimStep) => void,
  ): void {
    const begunAtMs = Date.now();
    this.calls.set(request.call, { choose, onStep, begunAtMs });
    this.perform(this.coordinator.begin(request, Date.now()));
  }

  /** The dispatched attempt never starts; another step follows. */
  refused(call: string): void {
    this.perform(this.coordinator.onRefused(call, Date.now()));
  }

  /** The call has its outcome. */
  end(call: string): void {
    if (!this.calls.delete(call)) return;
    this.perform(this.coordinator.end(call, Date.now()));
  }

  /** Follows one shard's stream until the signal aborts. */
  async readShard(shard: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isDown = this.outages.has(shard);
      try {
        const page = await this.options.log.read(claimStream(shard), {
          from: this.coordinator.nextOffset(shard),
          waitMs: isDown ? 0 : LONG_POLL_MS,
          signal,
        });
        this.onAnswered(shard);
        this.onRead(shard, page.startOffset, page.records);
      } catch (error) {
        if (isAborted(signal)) return;
        const problem = toFailure(error, 1901);
        if (problem.number === 1902) {
          this.onRead(shard, Number(problem.detail.startOffset), []);
          continue;
        }
        this.onFailed(shard, problem.message);
        await pause(RETRY_PAUSE_MS, signal);
      }
    }
  }

  async tick(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.perform(this.coordinator.tick(Date.now()));
      const isIdle = this.coordinator.isIdle;
      await pause(isIdle ? IDLE_TICK_MS : BUSY_TICK_MS, signal);
    }
  }

  private onRead(
    shard: number,
    startOffset: number,
    records: Parameters<ClaimCoordinator["onRead"]>[2],
  ): void {
    const nowMs = Date.now();
    this.perform(this.coordinator.onRead(shard, startOffset, records, nowMs));
  }

  private perform(effects: readonly ClaimEffect[]): void {
    for (const effect of effects) this.carryOut(effect);
  }

  private carryOut(effect: ClaimEffect): void {
    switch (effect.kind) {
      case "append":
        void this.append(effect.shard, effect.batch);
        return;
      case "ask":
        void this.ask(effect.call, effect.claim, effect.tombstone);
        return;
      case "dispatch":
      case "attach":
      case "refuse": {
        this.measureStep(effect);
        const waiting = this.calls.get(effect.call);
        if (effect.kind !== "dispatch") this.calls.delete(effect.call);
        waiting?.onStep(effect);
      }
    }
  }

  private measureStep({ kind: step, call }: ClaimStep): void {
    const { measurements } = this.options.context;
    measurements.count("claimSteps", { step });
    const begunAtMs = this.calls.get(call)?.begunAtMs;
    if (begunAtMs === undefined) return;
    const waitedMs = Date.now() - begunAtMs;
    measurements.observe("claimWait", waitedMs / 1000, { step });
  }

  private async append(shard: number, batch: ClaimBatch): Promise<void> {
    const { measurements } = this.options.context;
    const record = Buffer.from(encodeClaimBatch(batch));
    try {
      await this.options.log.append(claimStream(shard), [record]);
      measurements.count("claimAppends", { result: "answered" });
      this.perform(
        this.coordinator.onAppendAnswered(shard, batch.nonce, Date.now()),
      );
    } catch {
      // It may have landed all the same; reading tells.
      measurements.count("claimAppends", { result: "failed" });
      this.perform(
        this.coordinator.onAppendFailed(shard, batch.nonce, Date.now()),
      );
    }
  }

  private async ask(
    call: string,
    claim: ClaimEntry,
    tombstone: boolean,
  ): Promise<void> {
    const answer = await this.options.ask(claim, tombstone);
    this.perform(this.coordinator.onAgentAnswer(call, answer, Date.now()));
  }

  private onFailed(shard: number, reason: string): void {
    if (this.outages.has(shard)) return;
    this.outages.set(shard, Date.now());
    const stream = claimStream(shard);
    this.options.context.emit(191, { stream, reason });
  }

  private onAnswered(shard: number): void {
    const sinceMs = this.outages.get(shard);
    if (sinceMs === undefined) return;
    this.outages.delete(shard);
    const stream = claimStream(shard);
    const outageMs = Date.now() - sinceMs;
    this.options.context.emit(192, { stream, outageMs });
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** All tasks that the claims of an entry need. */
export function claimTaskList(tasks: ClaimTasks): readonly {
  readonly name: string;
  readonly run: (signal: AbortSignal) => Promise<void>;
}[] {
  const shards = Array.from({ length: CLAIM_SHARDS }, (_, shard) => ({
    name: claimStream(shard),
    run: (signal: AbortSignal) => tasks.readShard(shard, signal),
  }));
  const tick = {
    name: "claim-times",
    run: (signal: AbortSignal) => tasks.tick(signal),
  };
  return [...shards, tick];
}
