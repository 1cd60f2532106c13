/**
 * Two entries and two backend servers in virtual time. All parts between the
 * real state machines are here: connections, closes, callers and placement.
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
import { Engine, type EngineRun } from "./engine.js";

export interface Connection {
  readonly id: number;
  readonly entry: EntryNode;
  readonly entryIncarnation: string;
  readonly agent: AgentNode;
  readonly agentIncarnation: string;
  readonly number: number;
  /** Frames under way. */
  readonly up: EntryFrame[];
  readonly down: AgentFrame[];
  /** Takes writes and delivers nothing by itself any more. */
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
  machine: EntrySessions;
  paused: boolean;
  readonly unplaced: string[];
}

export interface AgentNode {
  readonly runner: string;
  readonly engine: Engine;
  incarnation: string;
  machine: AgentGate;
  paused: boolean;
  leftAt: number;
  drainedRuns: number | undefined;
}

/** What a caller sees of its request. */
export interface CallerView {
  readonly call: Call;
  readonly entryIncarnation: string;
  readonly acceptedAt: number;
  pieces: string[];
  headSeen: boolean;
  readonly outcomes: {
    readonly outcome: FinalOutcome;
    readonly error: ErrorNumber | 0;
    readonly at: number;
  }[];
}

export interface WorldOptions {
  readonly without?: Safeguard;
  readonly mayRetry?: MayRetry;
  readonly deadlineMs?: number;
  readonly engineResumes?: boolean;
  /** Answers without a mark of their end; all have one if absent. */
  readonly marksEndOf?: (call: Call) => boolean;
}

const ENTRIES = 2;
const AGENTS = 2;
const DEADLINE_MS = 20_000;
const NOT_LEFT = Number.POSITIVE_INFINITY;

/** Short holds, so that histories of a few seconds outlast them. */
export const FUZZ_LIMITS: SessionLimits = {
  ...SESSION_LIMITS,
  doubtMs: 6_000,
  holdMs: 3_500,
  proofMs: 20_000,
  holdRunBytes: 200,
};

export class World {
  now = 0;
  readonly entries: EntryNode[] = [];
  readonly agents: AgentNode[] = [];
  readonly connections: Connection[] = [];
  readonly closes: CloseCall[] = [];
  readonly callers = new Map<string, CallerView>();
  /** Attempts that an agent promised never to start, and had not started. */
  readonly withdrawn: {
    readonly agent: AgentNode;
    readonly attempt: string;
  }[] = [];
  readonly violations: string[] = [];
  partitioned = false;
  private names = 0;

  private constructor(private readonly options: WorldOptions) {
    for (let index = 0; index < AGENTS; index += 1) {
      this.agents.push(this.createAgent(`runner-${index}`));
    }
    for (let index = 0; index < ENTRIES; index += 1) {
      this.entries.push(this.createEntry(`entry-${index}`));
    }
  }

  static create(options: WorldOptions = {}): World {
    const world = new World(options);
    world.step(0);
    world.step(0);
    return world;
  }

  accept(entry: EntryNode, repeatable: boolean, streamed: boolean): string {
    const request = this.name("request");
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
      headSeen: false,
      outcomes: [],
    };
    const deadlineAt = this.now + (this.options.deadlineMs ?? DEADLINE_MS);
    this.callers.set(request, view);
    const accepted = entry.machine.accept(call, deadlineAt, this.now);
    // A caller that isn't accepted is told to connect elsewhere.
    if (accepted.isLeft()) this.callers.delete(request);
    this.place(entry);
    return request;
  }

  /** Time passes: what can be delivered is, then everybody's timers run. */
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
      this.place(entry);
    }
    this.forgetDeadConnections();
  }

  stepEngine(agent: AgentNode): void {
    if (agent.paused) return;
    const { machine, incarnation } = agent;
    const isHeard = (run: EngineRun): boolean =>
      run.reader.incarnation === incarnation;
    agent.engine.step({
      head: (run) => {
        if (isHeard(run)) {
          machine.runHead(
            run.name,
            run.reader.stream,
            200,
            [],
            run.isEndMarked,
          );
        }
      },
      piece: (run, text) => {
        const data = Buffer.from(text);
        if (isHeard(run)) machine.runPiece(run.name, run.reader.stream, data);
      },
      end: (run) => {
        if (!isHeard(run)) return;
        machine.runEnded(run.name, run.reader.stream, this.now);
      },
    });
  }

  restartEngine(agent: AgentNode): void {
    const { machine, incarnation, engine } = agent;
    engine.regenerate(({ name, reader }) => {
      if (reader.incarnation !== incarnation) return;
      machine.runFailed(name, reader.stream, 1216, this.now);
    });
  }

  /** Delivers one frame, wherever it waits; false if there is none. */
  deliverUp(connection: Connection, position: number): boolean {
    const [frame] = connection.up.splice(position, 1) as (
      EntryFrame | undefined
    )[];
    const { agent, agentIncarnation } = connection;
    if (frame === undefined || agent.incarnation !== agentIncarnation) {
      return false;
    }
    agent.machine.receive(connection.id, frame, this.now);
    return true;
  }

  deliverDown(connection: Connection, position: number): boolean {
    const [frame] = connection.down.splice(position, 1) as (
      AgentFrame | undefined
    )[];
    const { entry, entryIncarnation, agent, number } = connection;
    if (frame === undefined || entry.incarnation !== entryIncarnation) {
      return false;
    }
    entry.machine.receive(agent.runner, number, frame, this.now);
    this.place(entry);
    return true;
  }

  /** Both ends learn that the connection is gone. */
  cut(connection: Connection): void {
    connection.up.length = 0;
    connection.down.length = 0;
    this.endAtEntry(connection);
    this.endAtAgent(connection);
  }

  /** A graceful end still delivers what the old process has sent. */
  restartAgent(agent: AgentNode, isGraceful = false): void {
    agent.incarnation = this.name("agent");
    agent.machine = this.createGate(agent);
    agent.leftAt = NOT_LEFT;
    agent.drainedRuns = undefined;
    for (const connection of this.connections) {
      if (connection.agent !== agent) continue;
      connection.openAtAgent = false;
      if (!connection.silent && !isGraceful) this.endAtEntry(connection);
    }
  }

  /** Callers of a crashed entry see their connections cut. */
  restartEntry(entry: EntryNode): void {
    entry.incarnation = this.name("entry");
    entry.unplaced.length = 0;
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
    const isPromised = machine.withdraw(attempt, incarnation, this.now);
    if (isPromised) this.withdrawn.push({ agent, attempt });
  }

  deliverCloses(): void {
    for (const close of this.closes.splice(0)) {
      if (this.partitioned) this.failClose(close);
      else if (close.agent.paused) this.closes.push(close);
      else {
        this.askClose(close);
        this.answerClose(close);
      }
    }
  }

  askClose(close: CloseCall): void {
    close.reply ??= close.agent.machine.close(close.session, this.now);
  }

  failClose({ entry, entryIncarnation, agent, session }: CloseCall): void {
    if (entry.incarnation !== entryIncarnation) return;
    entry.machine.closeFailed(agent.runner, session.number, this.now);
  }

  private answerClose(close: CloseCall): void {
    const { entry, entryIncarnation, agent, session, reply } = close;
    if (reply === undefined) return;
    if (entry.paused) {
      this.closes.push(close);
      return;
    }
    if (entry.incarnation !== entryIncarnation) return;
    const { number } = session;
    entry.machine.closeAnswered(agent.runner, number, reply, this.now);
    this.place(entry);
  }

  private deliverAll(connection: Connection): void {
    const { entry, agent } = connection;
    if (!agent.paused) {
      while (this.deliverUp(connection, 0));
      if (!connection.openAtEntry) this.endAtAgent(connection);
    }
    if (!entry.paused) {
      while (this.deliverDown(connection, 0));
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

  private forgetDeadConnections(): void {
    const kept = this.connections.filter(
      ({ silent, openAtEntry, openAtAgent }) =>
        silent || openAtEntry || openAtAgent,
    );
    this.connections.splice(0, this.connections.length, ...kept);
  }

  /** Tries every runner in turn, as a placement without knowledge would. */
  private place(entry: EntryNode): void {
    for (const request of entry.unplaced.splice(0)) {
      const first = this.names % this.agents.length;
      const order = [
        ...this.agents.slice(first),
        ...this.agents.slice(0, first),
      ];
      const isSent = order.some(({ runner }) =>
        entry.machine.dispatch(request, runner, this.now).isRight(),
      );
      const view = this.callers.get(request);
      const isOpen = view?.outcomes.length === 0;
      if (!isSent && isOpen) entry.unplaced.push(request);
    }
  }

  private createEntry(name: string): EntryNode {
    const node = {
      name,
      incarnation: this.name("entry"),
      paused: false,
      unplaced: [],
    };
    const entry: EntryNode = Object.assign(node, {
      machine: this.createSessions(node),
    });
    this.addAgents(entry);
    return entry;
  }

  private addAgents(entry: EntryNode): void {
    // Effects need the node, which the list of entries doesn't hold yet.
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
      createAttemptId: () => this.name("attempt"),
      random: () => 0,
      emit: (number, fields) => {
        if (number === 104) this.violations.push(JSON.stringify(fields));
      },
      limits: FUZZ_LIMITS,
      ...(this.options.without && { without: this.options.without }),
    });
  }

  private createAgent(runner: string): AgentNode {
    const node = {
      runner,
      engine: Engine.create(runner, this.options.marksEndOf),
      incarnation: this.name("agent"),
      paused: false,
      leftAt: NOT_LEFT,
      drainedRuns: undefined,
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
        if (number === 104) this.violations.push(JSON.stringify(fields));
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
        this.findConnection(entry, effect.runner, effect.number)?.up.push(
          effect.frame,
        );
        return;
      case "close-session":
        this.closes.push({
          entry,
          entryIncarnation: entry.incarnation,
          agent: this.agent(effect.runner),
          session: effect.session,
          reply: undefined,
        });
        return;
      case "place":
        entry.unplaced.push(effect.call.request);
        return;
      default:
        this.showCaller(effect);
    }
  }

  private showCaller(effect: EntryEffect): void {
    if (!("request" in effect)) return;
    const view = this.callers.get(effect.request);
    if (view === undefined) return;
    if (effect.kind === "head") view.headSeen = true;
    if (effect.kind === "piece") {
      view.pieces.push(Buffer.from(effect.data).toString());
    }
    if (effect.kind === "discard") view.pieces = [];
    if (effect.kind === "discard") view.headSeen = false;
    if (effect.kind !== "finish") return;
    const { outcome, error } = effect;
    view.outcomes.push({ outcome, error, at: this.now });
  }

  private connect(entry: EntryNode, runner: string, number: number): void {
    const agent = this.agent(runner);
    this.connections.push({
      id: (this.names += 1),
      entry,
      entryIncarnation: entry.incarnation,
      agent,
      agentIncarnation: agent.incarnation,
      number,
      up: [],
      down: [],
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
          ?.down.push(effect.frame);
        return;
      case "disconnect":
        for (const connection of this.connections) {
          if (connection.id === effect.connection)
            connection.openAtAgent = false;
        }
        return;
      case "start-run": {
        const { run, stream, call } = effect;
        if (engine.refusing) agent.machine.runNotStarted(run, stream, 1214, 0);
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
        agent.drainedRuns = effect.cutRuns;
        return;
    }
  }

  private agent(runner: string): AgentNode {
    const found = this.agents.find((agent) => agent.runner === runner);
    if (found === undefined) throw new TypeError(`no runner ${runner}`);
    return found;
  }

  private name(kind: string): string {
    this.names += 1;
    return `${kind}-${this.names}`;
  }
}
