/**
 * Simulates entries, agents and a log around the production claim code, in
 * virtual time. Starts at the engines and outcomes returned to callers are
 * recorded and checked against the invariants.
 */
import {
  CLAIM_SHARDS,
  ClaimCoordinator,
  AgentGate,
  answerAttemptQuery,
  checkKeyAge,
  encodeClaimBatch,
  errorTable,
  ignoreEvents,
  keyTimestampMs,
  shardOf,
  ClaimTable,
  type ClaimEffect,
  type ClaimEntry,
  type AgentEffect,
  type AttemptAnswer,
  type AttemptRegistry,
  type AttemptQuery,
  type Call as SessionCall,
  type CoordinatorRules,
  type ErrorNumber,
} from "../../src/internal.js";
import { VirtualTime } from "../virtual-time.js";
import { FuzzLog } from "./log.js";

const START_MS = 1_800_000_000_000;
const NETWORK_DELAY_MS = 1;
const TICK_INTERVAL_MS = 50;
const CALL_TIMEOUT_MS = 2_000;
const APPENDS_PER_SECOND = 1_000;
const ACCOUNT = "crews";
export const ENTRIES = 3;
export const AGENTS = 2;

export interface SimulationRules {
  readonly coordinator: CoordinatorRules;
  /** The attempt state that an agent answers from; mutations falsify it. */
  readonly attemptRegistry: (
    gate: AgentGate,
    incarnation: string,
  ) => AttemptRegistry;
}

interface Entry {
  readonly name: string;
  readonly coordinator: ClaimCoordinator;
  incarnation: number;
  isPaused: boolean;
  /** Inputs that arrived while the entry was paused. */
  inbox: (() => void)[];
}

interface Agent {
  readonly name: string;
  readonly incarnation: string;
  readonly gate: AgentGate;
  /** Number of sessions that each entry incarnation has opened. */
  readonly sessions: Map<string, number>;
  readonly isReachable: boolean;
  readonly isFull: boolean;
}

type Reply = (
  input: (coordinator: ClaimCoordinator) => readonly ClaimEffect[],
) => void;

interface DispatchedAttempt {
  readonly call: string;
  readonly key: string;
  readonly reply: Reply;
}

interface Call {
  readonly key: string;
  readonly entry: number;
  readonly incarnation: number;
  outcome: string | undefined;
}

export class ClaimsSimulation {
  readonly time = VirtualTime.create(START_MS);
  readonly log: FuzzLog;
  readonly calls: Call[] = [];
  readonly violations: string[] = [];
  /** Extra delay of the next dispatch, as if its sender were paused. */
  nextDispatchDelayMs = 0;
  private readonly entries: Entry[] = [];
  private readonly agents: Agent[] = [];
  private readonly starts = new Map<string, number>();
  private readonly dispatchedAttempts = new Map<string, DispatchedAttempt>();
  private readonly keysRefusedAsNotRun = new Set<string>();
  private ids = 0;
  private connections = 0;
  private isReadScheduled = false;

  private constructor(private readonly rules: SimulationRules) {
    this.log = FuzzLog.create(this.time, () => {
      this.scheduleReads();
    });
    for (let index = 0; index < ENTRIES; index += 1) this.startEntry(index, 0);
    for (let index = 0; index < AGENTS; index += 1) this.startAgent(index);
  }

  static create(rules: SimulationRules): ClaimsSimulation {
    return new ClaimsSimulation(rules);
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
      const createdAtMs = keyTimestampMs(call.key);
      const age = checkKeyAge({ key: call.key, createdAtMs }, nowMs);
      if (age.isLeft()) {
        const error = age.swap().unsafeCoerce();
        this.recordRefusal(call, error.number);
        return [];
      }
      const identity = { account: ACCOUNT, key: call.key };
      const giveUpAtMs = nowMs + CALL_TIMEOUT_MS;
      const request = { call: name, ...identity, isOwnKey, giveUpAtMs };
      return coordinator.begin(request, nowMs);
    });
    this.scheduleTick(entryIndex, entry.incarnation);
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
    this.startEntry(index, incarnation);
    this.scheduleReads();
  }

  restartAgent(index: number): void {
    this.startAgent(index);
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

  /** Ends all faults and runs until every call should have an outcome. */
  endFaults(): void {
    this.setOutage(false);
    this.nextDispatchDelayMs = 0;
    for (let index = 0; index < ENTRIES; index += 1) this.resumeEntry(index);
    for (let index = 0; index < AGENTS; index += 1) {
      this.changeAgent(index, { isReachable: true, isFull: false });
    }
    this.time.advance(3 * CALL_TIMEOUT_MS);
  }

  hasStarted(key: string): boolean {
    return this.starts.has(key);
  }

  outcomeOf(index: number): string | undefined {
    return this.calls[index]?.outcome;
  }

  check(): void {
    for (const [index, { outcome }] of this.calls.entries()) {
      if (outcome === undefined)
        this.reportViolation(`call ${index} has no outcome`);
    }
    this.checkReaders();
  }

  /** Checks that all readers of the log derive the same state. */
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
          this.reportViolation(
            `${name} differs from a fresh reader about ${key}`,
          );
        }
      }
    }
  }

  private reportViolation(violation: string): void {
    this.violations.push(violation);
  }

  private startEntry(index: number, incarnation: number): void {
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

  private startAgent(index: number): void {
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
      const started = this.dispatchedAttempts.get(effect.run);
      if (started === undefined) return;
      this.recordStart(started.key);
      this.time.schedule(NETWORK_DELAY_MS, () => {
        this.recordOutcome(started.call, "answered");
        started.reply((c) => c.end(started.call, this.time.nowMs));
      });
    }
    if (effect.kind !== "send" || effect.frame.kind !== "refused") return;
    const refused = this.dispatchedAttempts.get(effect.frame.attempt);
    if (refused === undefined) return;
    this.time.schedule(NETWORK_DELAY_MS, () => {
      refused.reply((c) => c.onRefused(refused.call, this.time.nowMs));
    });
  }

  private chooseAgent(
    entry: number,
  ): { agent: string; agentIncarnation: string } | undefined {
    const order = [entry % AGENTS, (entry + 1) % AGENTS];
    const agentIndex = order.find((index) => this.agents[index].isReachable);
    if (agentIndex === undefined) return undefined;
    const agent = this.agents[agentIndex];
    return { agent: agent.name, agentIncarnation: agent.incarnation };
  }

  /** Passes an input to an entry incarnation; dropped if it was restarted. */
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
      this.performEffect(index, incarnation, effect);
    }
  }

  private performEffect(
    index: number,
    incarnation: number,
    effect: ClaimEffect,
  ): void {
    const reply: Reply = (input) => {
      this.deliver(index, incarnation, input);
    };
    switch (effect.kind) {
      case "append": {
        const { shard, batch } = effect;
        const data = encodeClaimBatch(batch);
        this.log.append(shard, data, (isAppended) => {
          const nowMs = this.time.nowMs;
          reply((coordinator) =>
            isAppended
              ? coordinator.onAppendAnswered(shard, batch.nonce, nowMs)
              : coordinator.onAppendFailed(shard, batch.nonce, nowMs),
          );
        });
        return;
      }
      case "dispatch":
        this.dispatch(effect.call, effect.claim, reply);
        return;
      case "ask":
        this.askAgent(effect, reply);
        return;
      case "attach":
        this.recordOutcome(effect.call, "attached");
        return;
      case "refuse": {
        const call = this.calls[Number(effect.call)];
        this.recordRefusal(call, effect.error);
      }
    }
  }

  private dispatch(call: string, claim: ClaimEntry, reply: Reply): void {
    const delayMs = NETWORK_DELAY_MS + this.nextDispatchDelayMs;
    this.nextDispatchDelayMs = 0;
    this.time.schedule(delayMs, () => {
      const agent = this.agents.find(({ name }) => name === claim.agent);
      const nowMs = this.time.nowMs;
      const { agentIncarnation, attempt } = claim;
      // A session ends with its agent, so no frame reaches the next
      // incarnation.
      if (agent?.incarnation !== agentIncarnation || !agent.isReachable) {
        this.recordOutcome(call, "unknown");
        reply((coordinator) => coordinator.end(call, nowMs));
        return;
      }
      this.dispatchedAttempts.set(attempt, { call, key: claim.key, reply });
      this.connections += 1;
      sendDispatch(agent, claim, call, this.connections, nowMs);
    });
  }

  private askAgent(
    effect: Extract<ClaimEffect, { readonly kind: "ask" }>,
    reply: Reply,
  ): void {
    const { call, claim, tombstone } = effect;
    const { attempt, agentIncarnation } = claim;
    this.time.schedule(NETWORK_DELAY_MS, () => {
      const agent = this.agents.find(({ name }) => name === claim.agent);
      const query = { agentIncarnation, attempt, tombstone };
      const found = agent && this.answerQuery(agent, query);
      // A query may take effect even if its answer is lost.
      const isAnswered = agent?.isReachable === true && found !== undefined;
      const answerReceived = isAnswered
        ? found
        : ({ kind: "unreachable" } as const);
      this.time.schedule(NETWORK_DELAY_MS, () => {
        reply((coordinator) =>
          coordinator.onAgentAnswer(call, answerReceived, this.time.nowMs),
        );
      });
    });
  }

  private answerQuery(agent: Agent, query: AttemptQuery): AttemptAnswer {
    const { gate, incarnation } = agent;
    gate.tick(this.time.nowMs);
    const registry = this.rules.attemptRegistry(gate, incarnation);
    return answerAttemptQuery(registry, query, this.time.nowMs);
  }

  private recordStart(key: string): void {
    const count = (this.starts.get(key) ?? 0) + 1;
    this.starts.set(key, count);
    if (count > 1) this.reportViolation(`${key} was started ${count} times`);
    if (this.keysRefusedAsNotRun.has(key)) {
      this.reportViolation(`${key} was started after "not run"`);
    }
  }

  private recordRefusal(call: Call, error: ErrorNumber): void {
    const { outcome } = errorTable[error];
    if (outcome === "not-run") {
      this.keysRefusedAsNotRun.add(call.key);
      if (this.starts.has(call.key)) {
        this.reportViolation(
          `"not run" (${error}) of ${call.key}, which was started`,
        );
      }
    }
    call.outcome ??= `${error}`;
  }

  private recordOutcome(call: string, outcome: string): void {
    const known = this.calls[Number(call)];
    known.outcome ??= outcome;
  }

  private scheduleReads(): void {
    if (this.isReadScheduled) return;
    this.isReadScheduled = true;
    this.time.schedule(NETWORK_DELAY_MS, () => {
      this.isReadScheduled = false;
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

  private scheduleTick(index: number, incarnation: number): void {
    this.time.schedule(TICK_INTERVAL_MS, () => {
      const entry = this.entries[index];
      if (entry.incarnation !== incarnation) return;
      if (entry.isPaused) {
        entry.inbox.push(() => {
          this.scheduleTick(index, incarnation);
        });
        return;
      }
      this.deliver(index, incarnation, (coordinator) =>
        coordinator.tick(this.time.nowMs),
      );
      if (!entry.coordinator.isIdle) this.scheduleTick(index, incarnation);
    });
  }
}

/** Opens a new session for the dispatch and sends it. */
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
    ...CALL_TEMPLATE,
    request,
    account,
    idempotencyKey: key,
  };
  const fields = { deadlineMs: CALL_TIMEOUT_MS, fromIndex: 0, resumeOf: "" };
  gate.receive(
    connection,
    { kind: "dispatch", sequence: 1, attempt, call, ...fields },
    nowMs,
  );
}

const CALL_TEMPLATE = {
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
