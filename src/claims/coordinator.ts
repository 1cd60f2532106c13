/**
 * Coordinates the claims of one entry. A non-repeatable call is dispatched only
 * after its claim was read back as the winner. A repeat of the call, at this or
 * another entry, attaches to the attempt that holds the claim.
 *
 * A refusal may say "not run" only for a key that this entry generated, or
 * after a close was read back. Otherwise another entry may be running the call,
 * so the outcome is unknown; the caller can always safely repeat the call with
 * the same key.
 */
import type { ErrorNumber, LogRecord } from "../internal.js";
import { AbandonedClaims } from "./abandoned-claims.js";
import { AppendSchedule } from "./append-schedule.js";
import { PendingCalls } from "./pending-calls.js";
import {
  coordinatorRules,
  type CallState,
  type CoordinatorRules,
  type CoordinatorSettings,
} from "./coordinator-types.js";
import { CLAIM_SHARDS, shardOf } from "./keys.js";
import { ClaimTable } from "./table.js";
import type {
  AgentChoice,
  AttemptAnswer,
  CallIdentity,
  ClaimEffect,
  ClaimEntry,
  ClaimRequest,
  ClaimStatus,
  ClaimVerdict,
  CloseEntry,
  ReleaseEntry,
  ReleaseProof,
} from "./types.js";

/**
 * How long a repeat waits for the claim's entry to start the attempt before it
 * asks the agent for a tombstone. A live entry dispatches within milliseconds
 * of reading its claim; after this time it is dead or paused.
 */
export const START_GRACE_MS = 1_000;

/** Interval between two queries to the agent. */
const ASK_INTERVAL_MS = 100;

/** Maximum wait for a close to be read back. */
const CLOSE_TIMEOUT_MS = 500;

export class ClaimCoordinator {
  private readonly tables: readonly ClaimTable[];
  private readonly schedule: AppendSchedule;
  private readonly calls = PendingCalls.create();
  private readonly abandoned = AbandonedClaims.create();
  private readonly rules: CoordinatorRules;
  private effects: ClaimEffect[] = [];

  private constructor(private readonly settings: CoordinatorSettings) {
    this.rules = settings.rules ?? coordinatorRules;
    this.tables = Array.from({ length: CLAIM_SHARDS }, () =>
      ClaimTable.create(this.rules.table),
    );
    const { entryIncarnation, appendsPerSecond } = settings;
    this.schedule = AppendSchedule.create(entryIncarnation, appendsPerSecond);
  }

  static create(settings: CoordinatorSettings): ClaimCoordinator {
    return new ClaimCoordinator(settings);
  }

  /** Calls that wait for a claim, an agent's answer or their outcome. */
  get waiting(): number {
    return this.calls.size;
  }

  /** First unread offset of a shard's stream. */
  nextOffset(shard: number): number {
    return this.tables[shard].nextOffset;
  }

  /** Whether no call and no append is pending. */
  get isIdle(): boolean {
    return this.calls.size === 0 && this.schedule.isIdle;
  }

  /** Status of a call according to the records read so far. */
  statusOf(identity: CallIdentity): ClaimStatus {
    return this.tables[shardOf(identity)].status(identity);
  }

  /** Starts a call; its effects carry the call's id. */
  begin(request: ClaimRequest, nowMs: number): readonly ClaimEffect[] {
    this.advanceCall(request, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Applies one read of a shard's stream, which may be empty. */
  onRead(
    shard: number,
    startOffset: number,
    records: readonly LogRecord[],
    nowMs: number,
  ): readonly ClaimEffect[] {
    const table = this.tables[shard];
    table.skipTrimmed(startOffset, nowMs);
    for (const record of records) {
      for (const verdict of table.apply(record)) {
        this.applyVerdict(shard, verdict, nowMs);
      }
    }
    return this.takeEffects(nowMs);
  }

  onAppendAnswered(
    shard: number,
    nonce: string,
    nowMs: number,
  ): readonly ClaimEffect[] {
    this.schedule.onAnswered(shard, nonce);
    return this.takeEffects(nowMs);
  }

  onAppendFailed(
    shard: number,
    nonce: string,
    nowMs: number,
  ): readonly ClaimEffect[] {
    this.schedule.onFailed(shard, nonce, nowMs);
    return this.takeEffects(nowMs);
  }

  /** Applies the agent's answer to an `ask` effect. */
  onAgentAnswer(
    call: string,
    answer: AttemptAnswer,
    nowMs: number,
  ): readonly ClaimEffect[] {
    const state = this.calls.get(call);
    if (state?.phase.kind === "asking") {
      this.applyAttemptAnswer(state, state.phase.claim, answer, nowMs);
    }
    return this.takeEffects(nowMs);
  }

  /** The agent refused the dispatched attempt, which therefore never starts. */
  onRefused(call: string, nowMs: number): readonly ClaimEffect[] {
    const state = this.calls.get(call);
    if (state?.phase.kind === "dispatched") {
      this.releaseAndReclaim(state, state.phase.claim, "refused", nowMs);
    }
    return this.takeEffects(nowMs);
  }

  /** The call has its outcome, or its caller left before the dispatch. */
  end(call: string, nowMs: number): readonly ClaimEffect[] {
    const state = this.calls.get(call);
    if (state?.phase.kind === "claiming")
      this.abandon(state.phase.claim, nowMs);
    this.calls.delete(call);
    return this.takeEffects(nowMs);
  }

  /** Must be called every few milliseconds. */
  tick(nowMs: number): readonly ClaimEffect[] {
    for (const state of this.calls.all()) {
      const { phase } = state;
      if (phase.kind === "dispatched") continue;
      if (nowMs >= state.giveUpAtMs) {
        this.giveUp(state, nowMs);
      } else if (phase.kind === "pausing" && nowMs >= phase.askAtMs) {
        this.askAgent(state.request, phase.claim, nowMs);
      }
    }
    return this.takeEffects(nowMs);
  }

  private takeEffects(nowMs: number): readonly ClaimEffect[] {
    let next = this.schedule.nextBatch(nowMs);
    while (next !== undefined) {
      this.effects.push({ kind: "append", ...next });
      next = this.schedule.nextBatch(nowMs);
    }
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /** Takes the next step of a call, depending on its status in the log. */
  private advanceCall(request: ClaimRequest, nowMs: number): void {
    const status = this.statusOf(request);
    switch (status.kind) {
      case "free":
        this.startFirstClaim(request, status.nextGeneration, nowMs);
        return;
      case "claimed":
        this.askAgent(request, status.claim, nowMs);
        return;
      case "closed":
        this.refuse(request, 1306);
        return;
      case "incomplete":
        this.refuse(request, 1302);
    }
  }

  private startFirstClaim(
    request: ClaimRequest,
    generation: number,
    nowMs: number,
  ): void {
    const choice = this.settings.chooseAgent(request.call);
    if (choice === undefined) {
      this.refuse(request, request.isOwnKey ? 1209 : 1304);
    } else {
      this.appendClaim(request, generation, choice, nowMs);
    }
  }

  private appendClaim(
    request: ClaimRequest,
    generation: number,
    choice: AgentChoice,
    nowMs: number,
  ): void {
    const { account, key } = request;
    const { entry, entryIncarnation, newAttempt } = this.settings;
    const attempt = newAttempt();
    const claim: ClaimEntry = {
      kind: "claim",
      account,
      key,
      generation,
      attempt,
      entry,
      entryIncarnation,
      agent: choice.agent,
      agentIncarnation: choice.agentIncarnation,
    };
    this.calls.setPhase(request, { kind: "claiming", claim }, nowMs);
    this.schedule.add(shardOf(request), claim);
    if (!this.rules.awaitsReadBack) this.dispatch(request, claim, nowMs);
  }

  private applyVerdict(
    shard: number,
    verdict: ClaimVerdict,
    nowMs: number,
  ): void {
    const { entry, result } = verdict;
    this.schedule.onRead(shard, entry);
    if (entry.kind === "release") return;
    const isAbandoned = this.abandoned.remove(entry.attempt);
    if (isAbandoned && result === "won" && entry.kind === "claim") {
      this.schedule.add(shard, createRelease(entry, "not-dispatched"));
      this.settings.emit(133, { attempt: entry.attempt });
    }
    const state = this.calls.byAttempt(entry.attempt);
    if (state === undefined) return;
    if (entry.kind === "claim") {
      this.applyClaimVerdict(state, entry, result, nowMs);
    } else {
      this.applyCloseVerdict(state, entry, result, nowMs);
    }
  }

  private applyClaimVerdict(
    { request, phase }: CallState,
    claim: ClaimEntry,
    result: ClaimVerdict["result"],
    nowMs: number,
  ): void {
    if (phase.kind !== "claiming") return;
    if (phase.claim.attempt !== claim.attempt) return;
    if (result === "won" && this.isClaimInForce(request, claim)) {
      this.dispatch(request, claim, nowMs);
      return;
    }
    if (result === "expired") {
      this.refuse(request, request.isOwnKey ? 1901 : 1302);
      return;
    }
    this.advanceCall(request, nowMs);
  }

  private applyCloseVerdict(
    { request, phase }: CallState,
    close: CloseEntry,
    result: ClaimVerdict["result"],
    nowMs: number,
  ): void {
    if (phase.kind !== "closing") return;
    if (phase.claim.attempt !== close.attempt) return;
    // The status is "incomplete" when records between the claim and the close
    // were trimmed unread; they may contain a release and a later claim.
    const isClosed = this.statusOf(request).kind === "closed";
    if (result === "closed" && isClosed) this.refuse(request, 1305);
    else this.advanceCall(request, nowMs);
  }

  /** Whether all records of the call were read and the claim is in force. */
  private isClaimInForce(identity: CallIdentity, claim: ClaimEntry): boolean {
    const status = this.statusOf(identity);
    return status.kind === "claimed" && status.claim.attempt === claim.attempt;
  }

  private dispatch(
    request: ClaimRequest,
    claim: ClaimEntry,
    nowMs: number,
  ): void {
    const { call } = request;
    this.calls.setPhase(request, { kind: "dispatched", claim }, nowMs);
    this.settings.emit(131, { call, attempt: claim.attempt });
    this.effects.push({ kind: "dispatch", call, claim });
  }

  private askAgent(
    request: ClaimRequest,
    claim: ClaimEntry,
    nowMs: number,
  ): void {
    const { call } = request;
    const { awaited } = this.calls.setPhase(
      request,
      { kind: "asking", claim },
      nowMs,
    );
    const tombstone = nowMs - awaited.sinceMs >= START_GRACE_MS;
    this.effects.push({ kind: "ask", call, claim, tombstone });
  }

  private applyAttemptAnswer(
    state: CallState,
    claim: ClaimEntry,
    answer: AttemptAnswer,
    nowMs: number,
  ): void {
    const { request } = state;
    switch (answer.kind) {
      case "started":
        this.settings.emit(132, { call: request.call, attempt: claim.attempt });
        this.effects.push({ kind: "attach", call: request.call, claim });
        this.calls.delete(request.call);
        return;
      case "answer-gone":
        this.refuse(request, 1309);
        return;
      case "tombstoned":
        this.releaseAndReclaim(state, claim, "tombstone", nowMs);
        return;
      case "waiting":
      case "unreachable": {
        if (!this.rules.requiresReleaseProof) {
          this.releaseAndReclaim(state, claim, "tombstone", nowMs);
          return;
        }
        const askAtMs = nowMs + ASK_INTERVAL_MS;
        this.calls.setPhase(
          request,
          { kind: "pausing", claim, askAtMs },
          nowMs,
        );
        return;
      }
      case "forgotten":
      case "other-incarnation":
        this.refuse(request, 1308);
    }
  }

  /** Releases an attempt that can never start and claims the call again. */
  private releaseAndReclaim(
    { request, giveUpAtMs }: CallState,
    claim: ClaimEntry,
    proof: ReleaseProof,
    nowMs: number,
  ): void {
    if (!this.isClaimInForce(request, claim)) {
      this.advanceCall(request, nowMs);
      return;
    }
    const isLate = nowMs >= giveUpAtMs;
    const choice = isLate ? undefined : this.settings.chooseAgent(request.call);
    if (choice === undefined) {
      this.closeKey(request, claim, nowMs);
      return;
    }
    this.settings.emit(134, { attempt: claim.attempt, proof });
    this.schedule.add(shardOf(request), createRelease(claim, proof));
    this.appendClaim(request, claim.generation + 1, choice, nowMs);
  }

  /** Closes the key of a call that never ran and won't be attempted again. */
  private closeKey(
    request: ClaimRequest,
    claim: ClaimEntry,
    nowMs: number,
  ): void {
    if (request.isOwnKey) {
      this.refuse(request, 1209);
      return;
    }
    const { account, key, generation, attempt } = claim;
    if (!this.rules.closesBeforeNotRun) {
      this.refuse(request, 1305);
      return;
    }
    const giveUpAtMs = nowMs + CLOSE_TIMEOUT_MS;
    this.calls.setPhase(request, { kind: "closing", claim }, nowMs, giveUpAtMs);
    const close = { kind: "close", account, key, generation, attempt } as const;
    this.schedule.add(shardOf(request), close);
  }

  /** Refuses a call whose wait has expired, usually due to a log outage. */
  private giveUp({ request, phase }: CallState, nowMs: number): void {
    const { isOwnKey } = request;
    this.settings.emit(135, { call: request.call, phase: phase.kind });
    if (phase.kind === "claiming") this.abandon(phase.claim, nowMs);
    if (phase.kind === "asking" || phase.kind === "pausing") {
      this.refuse(request, 1308);
      return;
    }
    const isNotRun = isOwnKey || !this.rules.closesBeforeNotRun;
    this.refuse(request, isNotRun ? 1901 : 1307);
  }

  /**
   * The append may have taken effect or may still do so. The attempt is never
   * dispatched; if its claim is read back as the winner, it is released so that
   * a repeat can run.
   */
  private abandon(claim: ClaimEntry, nowMs: number): void {
    this.schedule.withdraw(shardOf(claim), claim.attempt);
    this.abandoned.add(claim.attempt, nowMs);
  }

  private refuse(request: ClaimRequest, error: ErrorNumber): void {
    this.effects.push({ kind: "refuse", call: request.call, error });
    this.calls.delete(request.call);
  }
}

function createRelease(claim: ClaimEntry, proof: ReleaseProof): ReleaseEntry {
  const { account, key, generation, attempt } = claim;
  return { kind: "release", account, key, generation, attempt, proof };
}
