/**
 * Executes the effects of the claim coordinator: reads and appends to the claim
 * streams, queries agents and reports each call's next step.
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

const LONG_POLL_TIMEOUT_MS = 2000;
const READ_RETRY_INTERVAL_MS = 200;
const ACTIVE_TICK_INTERVAL_MS = 10;
const IDLE_TICK_INTERVAL_MS = 100;

/** The next step of a call: dispatch it, attach to an attempt or refuse it. */
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
  private readonly outageStartsMs = new Map<number, number>();

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

  /** Starts a claim; `onStep` is called for each step until the call ends. */
  begin(
    request: ClaimRequest,
    choose: () => AgentChoice | undefined,
    onStep: (step: ClaimStep) => void,
  ): void {
    const begunAtMs = Date.now();
    this.calls.set(request.call, { choose, onStep, begunAtMs });
    this.performAll(this.coordinator.begin(request, Date.now()));
  }

  /** Reports that the dispatched attempt never starts; another step follows. */
  onRefused(call: string): void {
    this.performAll(this.coordinator.onRefused(call, Date.now()));
  }

  /** Reports that the call has its final outcome. */
  end(call: string): void {
    if (!this.calls.delete(call)) return;
    this.performAll(this.coordinator.end(call, Date.now()));
  }

  /** Reads one shard's stream until the signal aborts. */
  async readShard(shard: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const hasOutage = this.outageStartsMs.has(shard);
      try {
        const page = await this.options.log.read(claimStream(shard), {
          from: this.coordinator.nextOffset(shard),
          waitMs: hasOutage ? 0 : LONG_POLL_TIMEOUT_MS,
          signal,
        });
        this.onReadAnswered(shard);
        this.onRead(shard, page.startOffset, page.records);
      } catch (error) {
        if (isAborted(signal)) return;
        const readError = toFailure(error, 1901);
        if (readError.number === 1902) {
          this.onRead(shard, Number(readError.detail.startOffset), []);
          continue;
        }
        this.onReadFailed(shard, readError.message);
        await pause(READ_RETRY_INTERVAL_MS, signal);
      }
    }
  }

  async tick(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.performAll(this.coordinator.tick(Date.now()));
      const isIdle = this.coordinator.isIdle;
      await pause(
        isIdle ? IDLE_TICK_INTERVAL_MS : ACTIVE_TICK_INTERVAL_MS,
        signal,
      );
    }
  }

  private onRead(
    shard: number,
    startOffset: number,
    records: Parameters<ClaimCoordinator["onRead"]>[2],
  ): void {
    const nowMs = Date.now();
    this.performAll(
      this.coordinator.onRead(shard, startOffset, records, nowMs),
    );
  }

  private performAll(effects: readonly ClaimEffect[]): void {
    for (const effect of effects) this.perform(effect);
  }

  private perform(effect: ClaimEffect): void {
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
        this.recordStep(effect);
        const waitingCall = this.calls.get(effect.call);
        if (effect.kind !== "dispatch") this.calls.delete(effect.call);
        waitingCall?.onStep(effect);
      }
    }
  }

  private recordStep({ kind: step, call }: ClaimStep): void {
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
      this.performAll(
        this.coordinator.onAppendAnswered(shard, batch.nonce, Date.now()),
      );
    } catch {
      // The record may still have been appended; reading the stream tells.
      measurements.count("claimAppends", { result: "failed" });
      this.performAll(
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
    this.performAll(this.coordinator.onAgentAnswer(call, answer, Date.now()));
  }

  private onReadFailed(shard: number, reason: string): void {
    if (this.outageStartsMs.has(shard)) return;
    this.outageStartsMs.set(shard, Date.now());
    const stream = claimStream(shard);
    this.options.context.emit(191, { stream, reason });
  }

  private onReadAnswered(shard: number): void {
    const outageStartMs = this.outageStartsMs.get(shard);
    if (outageStartMs === undefined) return;
    this.outageStartsMs.delete(shard);
    const stream = claimStream(shard);
    const outageMs = Date.now() - outageStartMs;
    this.options.context.emit(192, { stream, outageMs });
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** Background tasks that an entry runs for its claims. */
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
