/**
 * Executes the effects of the entry's session state machine, with one task for
 * each connection to an agent and one listener for each request.
 */
import {
  EntrySessions,
  SESSION_LIMITS,
  unreachable,
  type ApricotdeckError,
  type Call,
  type DispatchOptions,
  type DispatchResult,
  type EntryEffect,
  type EntryStatus,
  type ErrorNumber,
  type LoadReport,
  type MayRetry,
  type PreviousAttempt,
  type SessionId,
} from "../../internal.js";
import { v7 as uuidV7 } from "uuid";
import type { Either } from "purify-ts";
import { RELEASE } from "../../release.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { AgentConnection, closeSession } from "./agent-connection.js";

/** Effects that belong to a single request. */
export type RequestEffect = Extract<
  EntryEffect,
  { kind: "place" | "head" | "piece" | "discard" | "finish" | "run-over" }
>;

export interface RequestListener {
  readonly place: (previous: PreviousAttempt | undefined) => void;
  readonly onEffect: (effect: RequestEffect) => void;
}

export interface SessionsOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  readonly mayRetry: MayRetry;
}

/** State of the session to one runner, as used by placement. */
export interface RunnerSession {
  /** Whether new requests may be dispatched to the runner. */
  readonly takesWork: boolean;
  /** Number of this entry's runs on the runner. */
  readonly inFlight: number;
  readonly load: LoadReport | undefined;
  /** Empty before the first session. */
  readonly agentIncarnation: string;
}

interface RunnerState {
  readonly address: string;
  connection: AgentConnection | undefined;
  number: number;
  takesWork: boolean;
  inFlight: number;
  load: LoadReport | undefined;
  agentIncarnation: string;
}

const TICK_INTERVAL_MS = 100;

export class Sessions implements AsyncDisposable {
  private readonly machine: EntrySessions;
  private readonly runners = new Map<string, RunnerState>();
  private readonly listeners = new Map<string, RequestListener>();
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: SessionsOptions) {
    const { context, mayRetry } = options;
    const { name: entry, incarnation, dataCentre, emit } = context;
    this.machine = EntrySessions.create({
      entry,
      incarnation,
      dataCentre,
      release: RELEASE,
      perform: (effect) => {
        this.perform(effect);
      },
      mayRetry,
      createAttemptId: () => uuidV7(),
      random: Math.random,
      emit,
    });
    this.timer = setInterval(() => {
      this.machine.tick(performance.now());
    }, TICK_INTERVAL_MS);
  }

  static create(options: SessionsOptions): Sessions {
    return new Sessions(options);
  }

  addRunner(name: string, address: string): void {
    if (this.runners.get(name)?.address === address) return;
    this.removeRunner(name);
    this.runners.set(name, {
      address,
      connection: undefined,
      number: 0,
      takesWork: false,
      inFlight: 0,
      load: undefined,
      agentIncarnation: "",
    });
    this.machine.addAgent(name, performance.now());
  }

  removeRunner(name: string): void {
    if (!this.runners.has(name)) return;
    this.machine.removeAgent(name, performance.now());
    this.runners.delete(name);
  }

  /** Called when the VM list shows that the runner is leaving. */
  markLeaving(name: string): void {
    this.machine.markLeaving(name, "list");
  }

  session(name: string): RunnerSession | undefined {
    return this.runners.get(name);
  }

  accept(
    call: Call,
    deadlineMs: number,
    listener: RequestListener,
  ): Either<ApricotdeckError, void> {
    const now = performance.now();
    this.listeners.set(call.request, listener);
    const accepted = this.machine.accept(call, now + deadlineMs, now);
    if (accepted.isLeft()) this.listeners.delete(call.request);
    return accepted;
  }

  dispatch(
    request: string,
    runner: string,
    options: DispatchOptions = {},
  ): DispatchResult {
    const now = performance.now();
    const dispatched = this.machine.dispatch(request, runner, now, options);
    const runnerState = this.runners.get(runner);
    if (runnerState !== undefined && dispatched.isRight())
      runnerState.inFlight += 1;
    return dispatched;
  }

  refuse(request: string, error: ErrorNumber, retryAfterMs: number): void {
    this.machine.refuse(request, error, performance.now(), retryAfterMs);
  }

  cancel(request: string, error?: ErrorNumber): void {
    this.machine.cancel(request, performance.now(), error);
  }

  leave(graceMs: number): void {
    this.machine.leave(graceMs, performance.now());
  }

  get inFlight(): number {
    return this.machine.inFlight;
  }

  get isDrained(): boolean {
    return this.machine.isDrained;
  }

  status(): EntryStatus {
    return this.machine.status();
  }

  [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    for (const { connection } of this.runners.values()) connection?.close();
    this.runners.clear();
    return Promise.resolve();
  }

  private perform(effect: EntryEffect): void {
    switch (effect.kind) {
      case "send":
        this.connectionOf(effect.runner, effect.number)?.send(effect.frame);
        return;
      case "connect":
        this.connect(effect.runner, effect.number);
        return;
      case "disconnect":
        this.connectionOf(effect.runner, effect.number)?.close();
        return;
      case "close-session":
        void this.closeSession(effect.runner, effect.session);
        return;
      case "session-live": {
        const runner = this.runners.get(effect.runner);
        if (runner === undefined) return;
        runner.agentIncarnation = effect.session.agentIncarnation;
        this.setTakesWork(effect.runner, true);
        return;
      }
      case "session-lost":
      case "agent-leaving":
        this.setTakesWork(effect.runner, false);
        return;
      case "load": {
        const runner = this.runners.get(effect.runner);
        if (runner !== undefined) runner.load = effect.report;
        return;
      }
      case "place":
        this.listeners.get(effect.call.request)?.place(effect.previous);
        return;
      case "finish": {
        const listener = this.listeners.get(effect.request);
        this.listeners.delete(effect.request);
        listener?.onEffect(effect);
        return;
      }
      case "run-over": {
        const runner = this.runners.get(effect.runner);
        if (runner !== undefined) runner.inFlight -= 1;
        this.listeners.get(effect.request)?.onEffect(effect);
        return;
      }
      case "head":
      case "piece":
      case "discard":
        this.listeners.get(effect.request)?.onEffect(effect);
        return;
      default:
        unreachable(effect);
    }
  }

  private setTakesWork(name: string, takesWork: boolean): void {
    const runner = this.runners.get(name);
    if (runner !== undefined) runner.takesWork = takesWork;
  }

  private connectionOf(
    name: string,
    number: number,
  ): AgentConnection | undefined {
    const runner = this.runners.get(name);
    return runner?.number === number ? runner.connection : undefined;
  }

  private connect(name: string, number: number): void {
    const runner = this.runners.get(name);
    if (runner === undefined) return;
    const { context, transport } = this.options;
    const connection = AgentConnection.create({
      context,
      transport,
      address: runner.address,
      onFrame: (frame) => {
        this.machine.receive(name, number, frame, performance.now());
      },
    });
    runner.connection = connection;
    runner.number = number;
    void this.runConnection(name, number, connection);
  }

  private async runConnection(
    name: string,
    number: number,
    connection: AgentConnection,
  ): Promise<void> {
    const reason = await connection.run();
    this.machine.connectionLost(name, number, reason, performance.now());
  }

  private async closeSession(name: string, session: SessionId): Promise<void> {
    const runner = this.runners.get(name);
    if (runner === undefined) return;
    const { context, transport } = this.options;
    const { address } = runner;
    const { number } = session;
    try {
      const reply = await closeSession(
        { context, transport, address },
        session,
        SESSION_LIMITS.closeRetryMs,
      );
      this.machine.closeAnswered(name, number, reply, performance.now());
    } catch {
      // The agent is unreachable; the state machine retries.
      this.machine.closeFailed(name, number, performance.now());
    }
  }
}
