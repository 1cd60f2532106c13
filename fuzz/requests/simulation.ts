/**
 * Simulates two entries and two backend servers in virtual time. The state
 * machines are the real ones; connections, closes, callers and placement are
 * simulated.
 */
import {
  AgentGate,
  type AgentEffect,
  type AgentFrame,
  type Call,
  type CloseReply,
  EntrySessions,
  type EntryEffect,
  type EntryFrame,
  type ErrorNumber,
  type FinalOutcome,
  type MayRetry,
  type Safeguard,
  type SessionId,
  SESSION_LIMITS,
  type SessionLimits,
} from "../../src/internal.js";
import { SimulatedEngine, type EngineRun } from "./engine.js";

export interface Connection {
  readonly id: number;
  readonly entry: EntryNode;
  readonly entryIncarnation: string;
  readonly agent: AgentNode;
  readonly agentIncarnation: string;
  /** Number of the session that uses the connection. */
  readonly number: number;
  /** Frames in flight. */
  readonly toAgent: EntryFrame[];
  readonly toEntry: AgentFrame[];
  /** Accepts writes but delivers frames only on explicit calls. */
  silent: boolean;
  openAtEntry: boolean;
  openAtAgent: boolean;
}

export interface CloseCall {
  readonly entry: EntryNode;
  readonly entryIncarnation: string;
  readonly agent: AgentNode;
  readonly session: SessionId;
  reply: CloseReply | undefined;
}

export interface EntryNode {
  readonly name: string;
  incarnation: string;
  /** State machine under test. */
  machine: EntrySessions;
  paused: boolean;
  readonly unplacedRequests: string[];
}

export interface AgentNode {
  readonly runner: string;
  readonly engine: SimulatedEngine;
  incarnation: string;
  /** State machine under test. */
  machine: AgentGate;
  paused: boolean;
  leavingSince: number;
  /** Runs unfinished when the agent drained; undefined before that. */
  cutRunsAtDrain: number | undefined;
}

/** A request as its caller sees it. */
export interface CallerView {
  readonly call: Call;
  readonly entryIncarnation: string;
  readonly acceptedAt: number;
  pieces: string[];
  headReceived: boolean;
  readonly outcomes: {
    readonly outcome: FinalOutcome;
    readonly error: ErrorNumber | 0;
    readonly at: number;
  }[];
}

export interface SimulationOptions {
  readonly without?: Safeguard;
  readonly mayRetry?: MayRetry;
  readonly deadlineMs?: number;
  readonly engineResumes?: boolean;
  /** Whether the answer to a call has an end mark; by default, all have. */
  readonly marksAnswerEnd?: (call: Call) => boolean;
}

const ENTRY_COUNT = 2;
const AGENT_COUNT = 2;
const DEADLINE_MS = 20_000;
const NEVER = Number.POSITIVE_INFINITY;

/** Short enough that histories of a few seconds reach the limits. */
export const FUZZ_LIMITS: SessionLimits = {
  ...SESSION_LIMITS,
  closeTimeoutMs: 6_000,
  answerRetentionMs: 3_500,
  closedSessionRetentionMs: 20_000,
  runBufferBytes: 200,
};

export class Simulation {
  /** Virtual time, ms. */
  now = 0;
  readonly entries: EntryNode[] = [];
  readonly agents: AgentNode[] = [];
  readonly connections: Connection[] = [];
  readonly closes: CloseCall[] = [];
  readonly callers = new Map<string, CallerView>();
  /** Attempts whose withdrawal an agent confirmed. */
  readonly withdrawn: {
    readonly agent: AgentNode;
    readonly attempt: string;
  }[] = [];
  readonly invariantViolations: string[] = [];
  partitioned = false;
  private lastId = 0;

  private constructor(private readonly options: SimulationOptions) {
    for (let index = 0; index < AGENT_COUNT; index += 1) {
      this.agents.push(this.createAgent(`runner-${index}`));
    }
    for (let index = 0; index < ENTRY_COUNT; index += 1) {
      this.entries.push(this.createEntry(`entry-${index}`));
    }
  }

  static create(options: SimulationOptions = {}): Simulation {
    const simulation = new Simulation(options);
    simulation.step(0);
    simulation.step(0);
    return simulation;
  }

  accept(entry: EntryNode, repeatable: boolean, streamed: boolean): string {
    const request = this.createId("request");
    const call: Call = {
      request,
      account: "account",
      method: "POST",
      path: "/",
      headers: [],
      body: new Uint8Array(0),
      streamed,
      repeatable,
      priority: 0,
      costTokens: 1,
      idempotencyKey: "",
      model: "model",
    };
    const { incarnation: entryIncarnation } = entry;
    const view: CallerView = {
      call,
      entryIncarnation,
      acceptedAt: this.now,
      pieces: [],
      headReceived: false,
      outcomes: [],
    };
    const deadlineAt = this.now + (this.options.deadlineMs ?? DEADLINE_MS);
    this.callers.set(request, view);
    const accepted = entry.machine.accept(call, deadlineAt, this.now);
    // A refused caller connects to another entry.
    if (accepted.isLeft()) this.callers.delete(request);
    this.placePending(entry);
    return request;
  }

  /** Advances time, delivers frames and closes, and runs all timers. */
  step(elapsedMs: number): void {
    this.now += elapsedMs;
    this.deliverCloses();
    for (const connection of this.connections) {
      if (!connection.silent) this.deliverAll(connection);
    }
    for (const agent of this.agents) {
      this.stepEngine(agent);
      if (!agent.paused) agent.machine.tick(this.now);
    }
    for (const connection of this.connections) {
      if (!connection.silent) this.deliverAll(connection);
    }
    for (const entry of this.entries) {
      if (entry.paused) continue;
      entry.machine.tick(this.now);
      this.placePending(entry);
    }
    this.removeDeadConnections();
  }

  stepEngine(agent: AgentNode): void {
    if (agent.paused) return;
    const { machine, incarnation } = agent;
    const isCurrentReader = (run: EngineRun): boolean =>
      run.reader.incarnation === incarnation;
    agent.engine.step({
      head: (run) => {
        if (isCurrentReader(run)) {
          machine.runHead(run.id, run.reader.stream, 200, [], run.isEndMarked);
        }
      },
      piece: (run, text) => {
        const data = Buffer.from(text);
        if (isCurrentReader(run))
          machine.runPiece(run.id, run.reader.stream, data);
      },
      end: (run) => {
        if (!isCurrentReader(run)) return;
        machine.runEnded(run.id, run.reader.stream, this.now);
      },
    });
  }

  restartEngine(agent: AgentNode): void {
    const { machine, incarnation, engine } = agent;
    engine.regenerate(({ id, reader }) => {
      if (reader.incarnation !== incarnation) return;
      machine.runFailed(id, reader.stream, 1216, this.now);
    });
  }

  /** Delivers the frame at this position; false if there is none. */
  deliverToAgent(connection: Connection, position: number): boolean {
    const [frame] = connection.toAgent.splice(position, 1) as (
      EntryFrame | undefined
    )[];
    const { agent, agentIncarnation } = connection;
    if (frame === undefined || agent.incarnation !== agentIncarnation) {
      return false;
    }
    agent.machine.receive(connection.id, frame, this.now);
    return true;
  }

  deliverToEntry(connection: Connection, position: number): boolean {
    const [frame] = connection.toEntry.splice(position, 1) as (
      AgentFrame | undefined
    )[];
    const { entry, entryIncarnation, agent, number } = connection;
    if (frame === undefined || entry.incarnation !== entryIncarnation) {
      return false;
    }
    entry.machine.receive(agent.runner, number, frame, this.now);
    this.placePending(entry);
    return true;
  }

  /** Ends the connection and notifies both ends. */
  cut(connection: Connection): void {
    connection.toAgent.length = 0;
    connection.toEntry.length = 0;
    this.endAtEntry(connection);
    this.endAtAgent(connection);
  }

  /** A graceful restart still delivers the frames that were sent before. */
  restartAgent(agent: AgentNode, isGraceful = false): void {
    agent.incarnation = this.createId("agent");
    agent.machine = this.createGate(agent);
    agent.leavingSince = NEVER;
    agent.cutRunsAtDrain = undefined;
    for (const connection of this.connections) {
      if (connection.agent !== agent) continue;
      connection.openAtAgent = false;
      if (!connection.silent && !isGraceful) this.endAtEntry(connection);
    }
  }

  /** A crash of the entry; its connections and its state are lost. */
  restartEntry(entry: EntryNode): void {
    entry.incarnation = this.createId("entry");
    entry.unplacedRequests.length = 0;
    entry.machine = this.createSessions(entry);
    for (const connection of this.connections) {
      if (connection.entry !== entry) continue;
      connection.openAtEntry = false;
      if (!connection.silent) this.endAtAgent(connection);
    }
    this.addAgents(entry);
  }

  withdraw(agent: AgentNode, attempt: string, incarnation: string): void {
    const { machine } = agent;
    const isConfirmed = machine.withdraw(attempt, incarnation, this.now);
    if (isConfirmed) this.withdrawn.push({ agent, attempt });
  }

  deliverCloses(): void {
    for (const close of this.closes.splice(0)) {
      if (this.partitioned) this.failClose(close);
      else if (close.agent.paused) this.closes.push(close);
      else {
        this.executeClose(close);
        this.deliverCloseReply(close);
      }
    }
  }

  executeClose(close: CloseCall): void {
    close.reply ??= close.agent.machine.close(close.session, this.now);
  }

  failClose({ entry, entryIncarnation, agent, session }: CloseCall): void {
    if (entry.incarnation !== entryIncarnation) return;
    entry.machine.closeFailed(agent.runner, session.number, this.now);
  }

  private deliverCloseReply(close: CloseCall): void {
    const { entry, entryIncarnation, agent, session, reply } = close;
    if (reply === undefined) return;
    if (entry.paused) {
      this.closes.push(close);
      return;
    }
    if (entry.incarnation !== entryIncarnation) return;
    const { number } = session;
    entry.machine.closeAnswered(agent.runner, number, reply, this.now);
    this.placePending(entry);
  }

  private deliverAll(connection: Connection): void {
    const { entry, agent } = connection;
    if (!agent.paused) {
      while (this.deliverToAgent(connection, 0));
      if (!connection.openAtEntry) this.endAtAgent(connection);
    }
    if (!entry.paused) {
      while (this.deliverToEntry(connection, 0));
      if (!connection.openAtAgent) this.endAtEntry(connection);
    }
  }

  private endAtEntry(connection: Connection): void {
    const { entry, entryIncarnation, agent, number } = connection;
    if (!connection.openAtEntry) return;
    connection.openAtEntry = false;
    if (entry.incarnation !== entryIncarnation) return;
    entry.machine.connectionLost(agent.runner, number, "cut", this.now);
  }

  private endAtAgent(connection: Connection): void {
    const { agent, agentIncarnation, id } = connection;
    if (!connection.openAtAgent) return;
    connection.openAtAgent = false;
    if (agent.incarnation !== agentIncarnation) return;
    agent.machine.connectionLost(id, this.now);
  }

  private removeDeadConnections(): void {
    const kept = this.connections.filter(
      ({ silent, openAtEntry, openAtAgent }) =>
        silent || openAtEntry || openAtAgent,
    );
    this.connections.splice(0, this.connections.length, ...kept);
  }

  /** Tries every runner in turn, as a placement without load data would. */
  private placePending(entry: EntryNode): void {
    for (const request of entry.unplacedRequests.splice(0)) {
      const first = this.lastId % this.agents.length;
      const order = [
        ...this.agents.slice(first),
        ...this.agents.slice(0, first),
      ];
      const isSent = order.some(({ runner }) =>
        entry.machine.dispatch(request, runner, this.now).isRight(),
      );
      const view = this.callers.get(request);
      const isOpen = view?.outcomes.length === 0;
      if (!isSent && isOpen) entry.unplacedRequests.push(request);
    }
  }

  private createEntry(name: string): EntryNode {
    const node = {
      name,
      incarnation: this.createId("entry"),
      paused: false,
      unplacedRequests: [],
    };
    const entry: EntryNode = Object.assign(node, {
      machine: this.createSessions(node),
    });
    this.addAgents(entry);
    return entry;
  }

  private addAgents(entry: EntryNode): void {
    // Called last: `addAgent` causes effects, which need the complete node.
    for (const { runner } of this.agents) {
      entry.machine.addAgent(runner, this.now);
    }
  }

  private createSessions(node: Omit<EntryNode, "machine">): EntrySessions {
    const { name: entry, incarnation } = node;
    return EntrySessions.create({
      entry,
      incarnation,
      dataCentre: "one",
      release: "test",
      perform: (effect) => {
        this.performForEntry(node as EntryNode, effect);
      },
      mayRetry: this.options.mayRetry ?? (() => true),
      createAttemptId: () => this.createId("attempt"),
      random: () => 0,
      emit: (number, fields) => {
        if (number === 104)
          this.invariantViolations.push(JSON.stringify(fields));
      },
      limits: FUZZ_LIMITS,
      ...(this.options.without && { without: this.options.without }),
    });
  }

  private createAgent(runner: string): AgentNode {
    const node = {
      runner,
      engine: SimulatedEngine.create(runner, this.options.marksAnswerEnd),
      incarnation: this.createId("agent"),
      paused: false,
      leavingSince: NEVER,
      cutRunsAtDrain: undefined,
    };
    return Object.assign(node, { machine: this.createGate(node) });
  }

  private createGate(node: Omit<AgentNode, "machine">): AgentGate {
    const { runner, incarnation } = node;
    return AgentGate.create({
      runner,
      group: "group",
      incarnation,
      engineResumes: this.options.engineResumes ?? true,
      mayStart: () => undefined,
      perform: (effect) => {
        this.performForAgent(node as AgentNode, incarnation, effect);
      },
      emit: (number, fields) => {
        if (number === 104)
          this.invariantViolations.push(JSON.stringify(fields));
      },
      limits: FUZZ_LIMITS,
      ...(this.options.without && { without: this.options.without }),
    });
  }

  private performForEntry(entry: EntryNode, effect: EntryEffect): void {
    switch (effect.kind) {
      case "connect":
        this.connect(entry, effect.runner, effect.number);
        return;
      case "disconnect":
        this.disconnect(entry, effect.runner, effect.number);
        return;
      case "send":
        this.findConnection(entry, effect.runner, effect.number)?.toAgent.push(
          effect.frame,
        );
        return;
      case "close-session":
        this.closes.push({
          entry,
          entryIncarnation: entry.incarnation,
          agent: this.findAgent(effect.runner),
          session: effect.session,
          reply: undefined,
        });
        return;
      case "place":
        entry.unplacedRequests.push(effect.call.request);
        return;
      default:
        this.recordForCaller(effect);
    }
  }

  private recordForCaller(effect: EntryEffect): void {
    if (!("request" in effect)) return;
    const view = this.callers.get(effect.request);
    if (view === undefined) return;
    if (effect.kind === "head") view.headReceived = true;
    if (effect.kind === "piece") {
      view.pieces.push(Buffer.from(effect.data).toString());
    }
    if (effect.kind === "discard") view.pieces = [];
    if (effect.kind === "discard") view.headReceived = false;
    if (effect.kind !== "finish") return;
    const { outcome, error } = effect;
    view.outcomes.push({ outcome, error, at: this.now });
  }

  private connect(entry: EntryNode, runner: string, number: number): void {
    const agent = this.findAgent(runner);
    this.connections.push({
      id: (this.lastId += 1),
      entry,
      entryIncarnation: entry.incarnation,
      agent,
      agentIncarnation: agent.incarnation,
      number,
      toAgent: [],
      toEntry: [],
      silent: this.partitioned,
      openAtEntry: true,
      openAtAgent: true,
    });
  }

  private disconnect(entry: EntryNode, runner: string, number: number): void {
    const connection = this.findConnection(entry, runner, number);
    if (connection !== undefined) connection.openAtEntry = false;
  }

  private findConnection(
    entry: EntryNode,
    runner: string,
    number: number,
  ): Connection | undefined {
    return this.connections.find(
      (connection) =>
        connection.openAtEntry &&
        connection.entryIncarnation === entry.incarnation &&
        connection.agent.runner === runner &&
        connection.number === number,
    );
  }

  private performForAgent(
    agent: AgentNode,
    incarnation: string,
    effect: AgentEffect,
  ): void {
    const { engine } = agent;
    switch (effect.kind) {
      case "send":
        this.connections
          .find(({ id }) => id === effect.connection)
          ?.toEntry.push(effect.frame);
        return;
      case "disconnect":
        for (const connection of this.connections) {
          if (connection.id === effect.connection)
            connection.openAtAgent = false;
        }
        return;
      case "start-run": {
        const { run, stream, call } = effect;
        if (engine.isRefusing)
          agent.machine.runNotStarted(run, stream, 1214, 0);
        else engine.start(run, call, { incarnation, stream }, this.now);
        return;
      }
      case "resume-run": {
        const { run, stream } = effect;
        if (!engine.resume(run, { incarnation, stream })) {
          agent.machine.runNotStarted(run, stream, 1405, 0);
        }
        return;
      }
      case "cancel-run":
        engine.cancel(effect.run);
        return;
      case "drained":
        agent.cutRunsAtDrain = effect.cutRuns;
        return;
    }
  }

  private findAgent(runner: string): AgentNode {
    const found = this.agents.find((agent) => agent.runner === runner);
    if (found === undefined)
      throw new TypeError(`runner ${runner} doesn't exist`);
    return found;
  }

  private createId(kind: string): string {
    this.lastId += 1;
    return `${kind}-${this.lastId}`;
  }
}
