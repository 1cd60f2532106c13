/**
 * The claims of one entry. A call that may not be repeated is dispatched only
 * after its own claim was read back as the winner; a repeat of it, here or at
 * another entry, goes to the attempt that holds the claim.
 *
 * What a refusal may say: "not run" only under a key that nobody else can know,
 * or after a close was read back. In any other case another entry may be
 * running the call, so its outcome is unknown and the caller repeats with the
 * same key, which is always safe.
 */
import type { ErrorNumber, LogRecord } from "../internal.js";
import { AbandonedClaims } from "./abandoned.js";
import { AppendSchedule } from "./append-schedule.js";
import { ClaimCalls } from "./calls.js";
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
 * How long a repeat lets the entry that holds the claim start its attempt
 * before it rules the attempt out. A claim is dispatched within milliseconds of
 * its reading; after this its entry is dead or paused.
 */
export const START_GRACE_MS = 1_000;

/** Between two questions to the agent. */
const ASK_AGAIN_MS = 100;

/** Longest wait for a close to be read back. */
const CLOSE_WAIT_MS = 500;

export class ClaimCoordinator {
  private readonly tables: readonly ClaimTable[];
  private readonly schedule: AppendSchedule;
  private readonly calls = ClaimCalls.create();
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

  /** Calls that wait for a claim, an agent's answer or their dispatch's end. */
  get waiting(): number {
    return this.calls.size;
  }

  /** First offset of a shard's stream that was not read yet. */
  nextOffset(shard: number): number {
    return this.tables[shard].nextOffset;
  }

  /** Whether neither a call nor an append waits for anything. */
  get isIdle(): boolean {
    return this.calls.size === 0 && this.schedule.isIdle;
  }

  /** What the log says about a call, as far as it was read. */
  statusOf(identity: CallIdentity): ClaimStatus {
    return this.tables[shardOf(identity)].status(identity);
  }

  /** Takes a call over; its effects carry the call's name. */
  begin(request: ClaimRequest, nowMs: number): readonly ClaimEffect[] {
    this.proceed(request, nowMs);
    return this.finish(nowMs);
  }

  /** One read of a shard's stream, also an empty one. */
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
        this.settle(shard, verdict, nowMs);
      }
    }
    return this.finish(nowMs);
  }

  onAppendAnswered(
    shard: number,
    nonce: string,
    nowMs: number,
  ): readonly ClaimEffect[] {
    this.schedule.onAnswered(shard, nonce);
    return this.finish(nowMs);
  }

  onAppendFailed(
    shard: number,
    nonce: string,
    nowMs: number,
  ): readonly ClaimEffect[] {
    this.schedule.onFailed(shard, nonce, nowMs);
    return this.finish(nowMs);
  }

  /** What the agent said to an "ask". */
  onAgentAnswer(
    call: string,
    answer: AttemptAnswer,
    nowMs: number,
  ): readonly ClaimEffect[] {
    const state = this.calls.get(call);
    if (state?.phase.kind === "asking") {
      this.applyAnswer(state, state.phase.claim, answer, nowMs);
    }
    return this.finish(nowMs);
  }

  /** The dispatched attempt was refused by its agent and never starts. */
  onRefused(call: string, nowMs: number): readonly ClaimEffect[] {
    const state = this.calls.get(call);
    if (state?.phase.kind === "dispatched") {
      this.replace(state, state.phase.claim, "refused", nowMs);
    }
    return this.finish(nowMs);
  }

  /** The call has its outcome, or its caller is gone before the dispatch. */
  end(call: string, nowMs: number): readonly ClaimEffect[] {
    const state = this.calls.get(call);
    if (state?.phase.kind === "claiming")
      this.abandon(state.phase.claim, nowMs);
    this.calls.delete(call);
    return this.finish(nowMs);
  }

  /** To be called every few milliseconds. */
  tick(nowMs: number): readonly ClaimEffect[] {
    for (const state of this.calls.all()) {
      const { phase } = state;
      if (phase.kind === "dispatched") continue;
      if (nowMs >= state.giveUpAtMs) {
        this.giveUp(state, nowMs);
      } else if (phase.kind === "pausing" && nowMs >= phase.askAtMs) {
        this.ask(state.request, phase.claim, nowMs);
      }
    }
    return this.finish(nowMs);
  }

  private finish(nowMs: number): readonly ClaimEffect[] {
    let next = this.schedule.take(nowMs);
    while (next !== undefined) {
      this.effects.push({ kind: "append", ...next });
      next = this.schedule.take(nowMs);
    }
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /** The next step of a call by what the log says now. */
  private proceed(request: ClaimRequest, nowMs: number): void {
    const status = this.statusOf(request);
    switch (status.kind) {
      case "free":
        this.claimFirst(request, status.nextGeneration, nowMs);
        return;
      case "claimed":
        this.ask(request, status.claim, nowMs);
        return;
      case "closed":
        this.refuse(request, 1306);
        return;
      case "incomplete":
        this.refuse(request, 1302);
    }
  }

  private claimFirst(
    request: ClaimRequest,
    generation: number,
    nowMs: number,
  ): void {
    const choice = this.settings.chooseAgent(request.call);
    if (choice === undefined) {
      this.refuse(request, request.isOwnKey ? 1209 : 1304);
    } else {
      this.claim(request, generation, choice, nowMs);
    }
  }

  private claim(
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
    this.calls.move(request, { kind: "claiming", claim }, nowMs);
    this.schedule.add(shardOf(request), claim);
    if (!this.rules.awaitsReading) this.dispatch(request, claim, nowMs);
  }

  private settle(shard: number, verdict: ClaimVerdict, nowMs: number): void {
    const { entry, result } = verdict;
    this.schedule.onRead(shard, entry);
    if (entry.kind === "release") return;
    const isAbandoned = this.abandoned.take(entry.attempt);
    if (isAbandoned && result === "won" && entry.kind === "claim") {
      this.schedule.add(shard, release(entry, "not-dispatched"));
      this.settings.emit(133, { attempt: entry.attempt });
    }
    const state = this.calls.byAttempt(entry.attempt);
    if (state === undefined) return;
    if (entry.kind === "claim") {
      this.settleClaim(state, entry, result, nowMs);
    } else {
      this.settleClose(state, entry, result, nowMs);
    }
  }

  private settleClaim(
    { request, phase }: CallState,
    claim: ClaimEntry,
    result: ClaimVerdict["result"],
    nowMs: number,
  ): void {
    if (phase.kind !== "claiming") return;
    if (phase.claim.attempt !== claim.attempt) return;
    if (result === "won" && this.holds(request, claim)) {
      this.dispatch(request, claim, nowMs);
      return;
    }
    if (result === "expired") {
      this.refuse(request, request.isOwnKey ? 1901 : 1302);
      return;
    }
    this.proceed(request, nowMs);
  }

  private settleClose(
    { request, phase }: CallState,
    close: CloseEntry,
    result: ClaimVerdict["result"],
    nowMs: number,
  ): void {
    if (phase.kind !== "closing") return;
    if (phase.claim.attempt !== close.attempt) return;
    // The status says "incomplete" when records between the claim and the close
    // were trimmed unread: a release and a later start may be among them.
    const isClosed = this.statusOf(request).kind === "closed";
    if (result === "closed" && isClosed) this.refuse(request, 1305);
    else this.proceed(request, nowMs);
  }

  /** Whether all records of the call were read and the claim stands. */
  private holds(identity: CallIdentity, claim: ClaimEntry): boolean {
    const status = this.statusOf(identity);
    return status.kind === "claimed" && status.claim.attempt === claim.attempt;
  }

  private dispatch(
    request: ClaimRequest,
    claim: ClaimEntry,
    nowMs: number,
  ): void {
    const { call } = request;
    this.calls.move(request, { kind: "dispatched", claim }, nowMs);
    this.settings.emit(131, { call, attempt: claim.attempt });
    this.effects.push({ kind: "dispatch", call, claim });
  }

  private ask(request: ClaimRequest, claim: ClaimEntry, nowMs: number): void {
    const { call } = request;
    const { awaited } = this.calls.move(
      request,
      { kind: "asking", claim },
      nowMs,
    );
    const tombstone = nowMs - awaited.sinceMs >= START_GRACE_MS;
    this.effects.push({ kind: "ask", call, claim, tombstone });
  }

  private applyAnswer(
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
        this.replace(state, claim, "tombstone", nowMs);
        return;
      case "waiting":
      case "unreachable": {
        if (!this.rules.wantsProof) {
          this.replace(state, claim, "tombstone", nowMs);
          return;
        }
        const askAtMs = nowMs + ASK_AGAIN_MS;
        this.calls.move(request, { kind: "pausing", claim, askAtMs }, nowMs);
        return;
      }
      case "forgotten":
      case "other-incarnation":
        this.refuse(request, 1308);
    }
  }

  /** Releases an attempt that can never start and claims the call anew. */
  private replace(
    { request, giveUpAtMs }: CallState,
    claim: ClaimEntry,
    proof: ReleaseProof,
    nowMs: number,
  ): void {
    if (!this.holds(request, claim)) {
      this.proceed(request, nowMs);
      return;
    }
    const isLate = nowMs >= giveUpAtMs;
    const choice = isLate ? undefined : this.settings.chooseAgent(request.call);
    if (choice === undefined) {
      this.close(request, claim, nowMs);
      return;
    }
    this.settings.emit(134, { attempt: claim.attempt, proof });
    this.schedule.add(shardOf(request), release(claim, proof));
    this.claim(request, claim.generation + 1, choice, nowMs);
  }

  /** The attempt never starts, and no other is wanted: "not run" for good. */
  private close(request: ClaimRequest, claim: ClaimEntry, nowMs: number): void {
    if (request.isOwnKey) {
      this.refuse(request, 1209);
      return;
    }
    const { account, key, generation, attempt } = claim;
    if (!this.rules.refusesTruthfully) {
      this.refuse(request, 1305);
      return;
    }
    const giveUpAtMs = nowMs + CLOSE_WAIT_MS;
    this.calls.move(request, { kind: "closing", claim }, nowMs, giveUpAtMs);
    const close = { kind: "close", account, key, generation, attempt } as const;
    this.schedule.add(shardOf(request), close);
  }

  /** The bounded wait is over, most likely by an outage of the log. */
  private giveUp({ request, phase }: CallState, nowMs: number): void {
    const { isOwnKey } = request;
    this.settings.emit(135, { call: request.call, phase: phase.kind });
    if (phase.kind === "claiming") this.abandon(phase.claim, nowMs);
    if (phase.kind === "asking" || phase.kind === "pausing") {
      this.refuse(request, 1308);
      return;
    }
    const isNotRun = isOwnKey || !this.rules.refusesTruthfully;
    this.refuse(request, isNotRun ? 1901 : 1307);
  }

  /**
   * The append may still land, or have landed. The attempt is never dispatched,
   * and when its claim is read as the winner it is released for a repeat.
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

function release(claim: ClaimEntry, proof: ReleaseProof): ReleaseEntry {
  const { account, key, generation, attempt } = claim;
  return { kind: "release", account, key, generation, attempt, proof };
}
