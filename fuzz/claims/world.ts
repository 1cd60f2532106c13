/**
 * Entries, agents and a log around the real claim machines, in virtual time.
 * The oracle is the engines' own record of starts and what callers were told.
 */
import {
  CLAIM_SHARDS,
  ClaimCoordinator,
  AgentGate,
  answerAboutAttempt,
  checkKeyAge,
  encodeClaimBatch,
  errorTable,
  ignoreEvents,
  keyTime,
  shardOf,
  ClaimTable,
  type ClaimEffect,
  type ClaimEntry,
  type AgentEffect,
  type AttemptAnswer,
  type AttemptKeeper,
  type AttemptQuestion,
  type Call as SessionCall,
  type CoordinatorRules,
  type ErrorNumber,
} from "../../src/internal.js";
import { VirtualTime } from "../virtual-time.js";
import { FuzzLog } from "./log.js";

const START_MS = 1_800_000_000_000;
const HOP_MS = 1;
const TICK_MS = 50;
const WAIT_MS = 2_000;
const APPENDS_PER_SECOND = 1_000;
const ACCOUNT = "crews";
export const ENTRIES = 3;
export const AGENTS = 2;

export interface WorldRules {
  readonly coordinator: CoordinatorRules;
  /** What an agent tells of attempts; a mutation lies about them. */
  readonly keeper: (gate: AgentGate, incarnation: string) => AttemptKeeper;
}

interface Entry {
  readonly name: string;
  readonly coordinator: ClaimCoordinator;
  incarnation: number;
  isPaused: boolean;
  /** What arrived while it was paused. */
  inbox: (() => void)[];
}

interface Agent {
  readonly name: string;
  readonly incarnation: string;
  readonly gate: AgentGate;
  /** Sessions that an entry's incarnation has opened. */
  readonly sessions: Map<string, number>;
  readonly isReachable: boolean;
  readonly isFull: boolean;
}

type Answer = (
  input: (coordinator: ClaimCoordinator) => readonly ClaimEffect[],
) => void;

interface Dispatched {
  readonly call: string;
  readonly key: string;
  readonly answer: Answer;
}

interface Call {
  readonly key: string;
  readonly entry: number;
  readonly incarnation: number;
  outcome: string | undefined;
}

export class ClaimsWorld {
  readonly time = VirtualTime.create(START_MS);
  readonly log: FuzzLog;
  readonly calls: Call[] = [];
  readonly violations: string[] = [];
  /** Delay of the next dispatch, as if its sender were paused. */
  nextDispatchDelayMs = 0;
  private readonly entries: Entry[] = [];
  private readonly agents: Agent[] = [];
  private readonly starts = new Map<string, number>();
  private readonly dispatched = new Map<string, Dispatched>();
  private readonly toldNotRun = new Set<string>();
  private ids = 0;
  private connections = 0;
  private readSoon = false;

  private constructor(private readonly rules: WorldRules) {
    this.log = FuzzLog.create(this.time, () => {
      this.scheduleReads();
    });
    for (let index = 0; index < ENTRIES; index += 1) this.bootEntry(index, 0);
    for (let index = 0; index < AGENTS; index += 1) this.bootAgent(index);
  }

  static create(rules: WorldRules): ClaimsWorld {
    return new ClaimsWorld(rules);
  }

  newId(): string {
    this.ids += 1;
    const time = this.time.nowMs.toString(16).padStart(12, "0");
    const tail = this.ids.toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
  }

  call(entryIndex: number, key: string | undefined): void {
    const entry = this.entries[entryIndex];
    const name = String(this.calls.length);
    const isOwnKey = key === undefined;
    const call: Call = {
      key: key ?? this.newId(),
      entry: entryIndex,
      incarnation: entry.incarnation,
      outcome: undefined,
    };
    this.calls.push(call);
    this.deliver(entryIndex, entry.incarnation, (coordinator) => {
      const nowMs = this.time.nowMs;
      const madeAtMs = keyTime(call.key);
      const age = checkKeyAge({ key: call.key, madeAtMs }, nowMs);
      if (age.isLeft()) {
        const error = age.swap().unsafeCoerce();
        this.refuse(call, error.number);
        return [];
      }
      const identity = { account: ACCOUNT, key: call.key };
      const giveUpAtMs = nowMs + WAIT_MS;
      const request = { call: name, ...identity, isOwnKey, giveUpAtMs };
      return coordinator.begin(request, nowMs);
    });
    this.tickLater(entryIndex, entry.incarnation);
  }

  pauseEntry(index: number): void {
    const entry = this.entries[index];
    entry.isPaused = true;
  }

  resumeEntry(index: number): void {
    const entry = this.entries[index];
    entry.isPaused = false;
    const { inbox } = entry;
    entry.inbox = [];
    for (const run of inbox) run();
    this.scheduleReads();
  }

  restartEntry(index: number): void {
    const incarnation = this.entries[index].incarnation + 1;
    for (const call of this.calls) {
      const isLost = call.entry === index && call.incarnation < incarnation;
      if (isLost) call.outcome ??= "connection lost";
    }
    this.bootEntry(index, incarnation);
    this.scheduleReads();
  }

  restartAgent(index: number): void {
    this.bootAgent(index);
  }

  changeAgent(
    index: number,
    change: Partial<Pick<Agent, "isReachable" | "isFull">>,
  ): void {
    const agent = this.agents[index];
    this.agents[index] = { ...agent, ...change };
  }

  setOutage(isDown: boolean): void {
    this.log.isDown = isDown;
    this.scheduleReads();
  }

  /** Ends every fault and lets everything come to its end. */
  calmDown(): void {
    this.setOutage(false);
    this.nextDispatchDelayMs = 0;
    for (let index = 0; index < ENTRIES; index += 1) this.resumeEntry(index);
    for (let index = 0; index < AGENTS; index += 1) {
      this.changeAgent(index, { isReachable: true, isFull: false });
    }
    this.time.advance(3 * WAIT_MS);
  }

  hasStarted(key: string): boolean {
    return this.starts.has(key);
  }

  outcomeOf(index: number): string | undefined {
    return this.calls[index]?.outcome;
  }

  check(): void {
    for (const [index, { outcome }] of this.calls.entries()) {
      if (outcome === undefined) this.violate(`call ${index} has no outcome`);
    }
    this.checkReaders();
  }

  /** All readers of the log make the same of it. */
  private checkReaders(): void {
    const keys = new Set(this.calls.map(({ key }) => key));
    for (const key of keys) {
      const identity = { account: ACCOUNT, key };
      const shard = shardOf(identity);
      const { startOffset, records } = this.log.read(shard, 0);
      const table = ClaimTable.create(this.rules.coordinator.table);
      table.skipTrimmed(startOffset, this.time.nowMs);
      for (const record of records) table.apply(record);
      const fresh = table.status(identity);
      if (fresh.kind === "incomplete") continue;
      for (const { coordinator, name } of this.entries) {
        const status = coordinator.statusOf(identity);
        if (status.kind === "incomplete") continue;
        if (JSON.stringify(status) !== JSON.stringify(fresh)) {
          this.violate(`${name} differs from a fresh reader about ${key}`);
        }
      }
    }
  }

  private violate(what: string): void {
    this.violations.push(what);
  }

  private bootEntry(index: number, incarnation: number): void {
    const name = `entry${index}`;
    this.entries[index] = {
      name,
      incarnation,
      isPaused: false,
      inbox: [],
      coordinator: ClaimCoordinator.create({
        entry: name,
        entryIncarnation: `${name}.${incarnation}`,
        appendsPerSecond: APPENDS_PER_SECOND,
        newAttempt: () => this.newId(),
        chooseAgent: () => this.chooseAgent(index),
        emit: ignoreEvents,
        rules: this.rules.coordinator,
      }),
    };
  }

  private bootAgent(index: number): void {
    const name = `agent${index}`;
    this.ids += 1;
    const incarnation = `${name}.${this.ids}`;
    const gate = AgentGate.create({
      runner: name,
      group: "group",
      incarnation,
      engineResumes: true,
      mayStart: () =>
        this.agents[index].isFull
          ? { error: 1404, retryAfterMs: 0 }
          : undefined,
      perform: (effect) => {
        this.onAgentEffect(effect);
      },
      emit: ignoreEvents,
    });
    const before = this.agents.at(index);
    this.agents[index] = {
      name,
      incarnation,
      gate,
      sessions: new Map(),
      isReachable: before?.isReachable ?? true,
      isFull: before?.isFull ?? false,
    };
  }

  private onAgentEffect(effect: AgentEffect): void {
    if (effect.kind === "start-run") {
      const started = this.dispatched.get(effect.run);
      if (started === undefined) return;
      this.start(started.key);
      this.time.after(HOP_MS, () => {
        this.finish(started.call, "answered");
        started.answer((c) => c.end(started.call, this.time.nowMs));
      });
    }
    if (effect.kind !== "send" || effect.frame.kind !== "refused") return;
    const refused = this.dispatched.get(effect.frame.attempt);
    if (refused === undefined) return;
    this.time.after(HOP_MS, () => {
      refused.answer((c) => c.onRefused(refused.call, this.time.nowMs));
    });
  }

  private chooseAgent(
    entry: number,
  ): { agent: string; agentIncarnation: string } | undefined {
    const order = [entry % AGENTS, (entry + 1) % AGENTS];
    const place = order.find((index) => this.agents[index].isReachable);
    if (place === undefined) return undefined;
    const agent = this.agents[place];
    return { agent: agent.name, agentIncarnation: agent.incarnation };
  }

  /** Hands an input to an entry, unless it was restarted since. */
  private deliver(
    index: number,
    incarnation: number,
    input: (coordinator: ClaimCoordinator) => readonly ClaimEffect[],
  ): void {
    const entry = this.entries[index];
    if (entry.incarnation !== incarnation) return;
    if (entry.isPaused) {
      entry.inbox.push(() => {
        this.deliver(index, incarnation, input);
      });
      return;
    }
    for (const effect of input(entry.coordinator)) {
      this.carryOut(index, incarnation, effect);
    }
  }

  private carryOut(
    index: number,
    incarnation: number,
    effect: ClaimEffect,
  ): void {
    const answer: Answer = (input) => {
      this.deliver(index, incarnation, input);
    };
    switch (effect.kind) {
      case "append": {
        const { shard, batch } = effect;
        const data = encodeClaimBatch(batch);
        this.log.append(shard, data, (isTaken) => {
          const nowMs = this.time.nowMs;
          answer((coordinator) =>
            isTaken
              ? coordinator.onAppendAnswered(shard, batch.nonce, nowMs)
              : coordinator.onAppendFailed(shard, batch.nonce, nowMs),
          );
        });
        return;
      }
      case "dispatch":
        this.dispatch(effect.call, effect.claim, answer);
        return;
      case "ask":
        this.askAgent(effect, answer);
        return;
      case "attach":
        this.finish(effect.call, "attached");
        return;
      case "refuse": {
        const call = this.calls[Number(effect.call)];
        this.refuse(call, effect.error);
      }
    }
  }

  private dispatch(call: string, claim: ClaimEntry, answer: Answer): void {
    const delayMs = HOP_MS + this.nextDispatchDelayMs;
    this.nextDispatchDelayMs = 0;
    this.time.after(delayMs, () => {
      const agent = this.agents.find(({ name }) => name === claim.agent);
      const nowMs = this.time.nowMs;
      const { agentIncarnation, attempt } = claim;
      // A session ends with its agent: no frame of it reaches the next one.
      if (agent?.incarnation !== agentIncarnation || !agent.isReachable) {
        this.finish(call, "unknown");
        answer((coordinator) => coordinator.end(call, nowMs));
        return;
      }
      this.dispatched.set(attempt, { call, key: claim.key, answer });
      this.connections += 1;
      sendDispatch(agent, claim, call, this.connections, nowMs);
    });
  }

  private askAgent(
    effect: Extract<ClaimEffect, { readonly kind: "ask" }>,
    answer: Answer,
  ): void {
    const { call, claim, tombstone } = effect;
    const { attempt, agentIncarnation } = claim;
    this.time.after(HOP_MS, () => {
      const agent = this.agents.find(({ name }) => name === claim.agent);
      const question = { agentIncarnation, attempt, tombstone };
      const found = agent && this.knowledge(agent, question);
      // A question may take effect although its answer is lost.
      const isHeard = agent?.isReachable === true && found !== undefined;
      const heard = isHeard ? found : ({ kind: "unreachable" } as const);
      this.time.after(HOP_MS, () => {
        answer((coordinator) =>
          coordinator.onAgentAnswer(call, heard, this.time.nowMs),
        );
      });
    });
  }

  private knowledge(agent: Agent, question: AttemptQuestion): AttemptAnswer {
    const { gate, incarnation } = agent;
    gate.tick(this.time.nowMs);
    const keeper = this.rules.keeper(gate, incarnation);
    return answerAboutAttempt(keeper, question, this.time.nowMs);
  }

  private start(key: string): void {
    const count = (this.starts.get(key) ?? 0) + 1;
    this.starts.set(key, count);
    if (count > 1) this.violate(`${key} was started ${count} times`);
    if (this.toldNotRun.has(key)) {
      this.violate(`${key} was started after "not run"`);
    }
  }

  private refuse(call: Call, error: ErrorNumber): void {
    const { outcome } = errorTable[error];
    if (outcome === "not-run") {
      this.toldNotRun.add(call.key);
      if (this.starts.has(call.key)) {
        this.violate(`"not run" (${error}) of ${call.key}, which was started`);
      }
    }
    call.outcome ??= `${error}`;
  }

  private finish(call: string, outcome: string): void {
    const known = this.calls[Number(call)];
    known.outcome ??= outcome;
  }

  private scheduleReads(): void {
    if (this.readSoon) return;
    this.readSoon = true;
    this.time.after(HOP_MS, () => {
      this.readSoon = false;
      if (this.log.isDown) return;
      for (let index = 0; index < ENTRIES; index += 1) this.read(index);
    });
  }

  private read(index: number): void {
    const entry = this.entries[index];
    if (entry.isPaused) return;
    for (let shard = 0; shard < CLAIM_SHARDS; shard += 1) {
      const from = entry.coordinator.nextOffset(shard);
      const { startOffset, records } = this.log.read(shard, from);
      if (records.length === 0 && startOffset <= from) continue;
      this.deliver(index, entry.incarnation, (coordinator) =>
        coordinator.onRead(shard, startOffset, records, this.time.nowMs),
      );
    }
  }

  private tickLater(index: number, incarnation: number): void {
    this.time.after(TICK_MS, () => {
      const entry = this.entries[index];
      if (entry.incarnation !== incarnation) return;
      if (entry.isPaused) {
        entry.inbox.push(() => {
          this.tickLater(index, incarnation);
        });
        return;
      }
      this.deliver(index, incarnation, (coordinator) =>
        coordinator.tick(this.time.nowMs),
      );
      if (!entry.coordinator.isIdle) this.tickLater(index, incarnation);
    });
  }
}

/** Every dispatch travels on a session of its own, opened just before it. */
function sendDispatch(
  { gate, sessions }: Agent,
  claim: ClaimEntry,
  request: string,
  connection: number,
  nowMs: number,
): void {
  const { entry, entryIncarnation, attempt, account, key } = claim;
  const number = (sessions.get(entryIncarnation) ?? 0) + 1;
  sessions.set(entryIncarnation, number);
  const session = { entry, entryIncarnation, number };
  const open = { ...session, dataCentre: "lac", release: "1" };
  gate.receive(connection, { kind: "open", ...open }, nowMs);
  const call: SessionCall = {
    ...ANY_CALL,
    request,
    account,
    idempotencyKey: key,
  };
  const wanted = { deadlineMs: WAIT_MS, fromIndex: 0, resumeOf: "" };
  gate.receive(
    connection,
    { kind: "dispatch", sequence: 1, attempt, call, ...wanted },
    nowMs,
  );
}

const ANY_CALL = {
  method: "POST",
  path: "/services/orders",
  headers: [],
  body: new Uint8Array(),
  streamed: false,
  repeatable: false,
  priority: 0,
  costTokens: 1,
  model: "",
} as const;
