/**
 * Executes the effects of the agent's gate, with one task for each connected
 * entry and one for each engine run.
 */
import type {
  sendUnaryData,
  ServerDuplexStream,
  ServerUnaryCall,
} from "@grpc/grpc-js";
import {
  AgentGate,
  answerAttemptQuery,
  createDeferred,
  priorityLimit,
  unreachable,
  type AgentEffect,
  type AgentStatus,
  type AttemptAnswer,
  type AttemptQuery,
  type LoadReport,
} from "../../internal.js";
import {
  AgentService,
  type AgentBatch,
  type AgentFrame,
  type AgentServer,
  type CloseSessionReply,
  type CloseSessionRequest,
  type EntryBatch,
} from "../../wire/generated/session.js";
import { FrameWriter } from "../frame-writer.js";
import type { ProcessContext } from "../process-context.js";
import {
  readEntryFrame,
  writeAgentFrame,
  writeCloseReply,
} from "../session-frames.js";
import type { RunBodies } from "./run-bodies.js";
import type { RunnerRest } from "./runner-rest.js";
import type { RunnerClient } from "./runner-client.js";
import { RunTasks } from "./run-tasks.js";

export { AgentService };

export interface AgentSessionsOptions {
  readonly context: ProcessContext;
  readonly runner: RunnerClient;
  readonly rest: RunnerRest;
  readonly bodies: RunBodies;
  readonly group: string;
  readonly attemptLimit: number;
  /** Whether the engine can resend a run's answer when asked by run id. */
  readonly engineResumes: boolean;
}

type EntryStream = ServerDuplexStream<EntryBatch, AgentBatch>;

interface Connection {
  readonly stream: EntryStream;
  readonly writer: FrameWriter<AgentFrame>;
}

const TICK_INTERVAL_MS = 100;
/** Sent with 1404 when the agent has reached its attempt limit. */
const FULL_RETRY_AFTER_MS = 200;

export class AgentSessions implements AsyncDisposable {
  private readonly connections = new Map<number, Connection>();
  private readonly gate: AgentGate;
  private readonly runs: RunTasks;
  private readonly drained = createDeferred<number>();
  private readonly timer: NodeJS.Timeout;
  private lastConnectionNumber = 0;

  private constructor(private readonly options: AgentSessionsOptions) {
    const { context, group, attemptLimit, engineResumes } = options;
    this.gate = AgentGate.create({
      runner: context.name,
      group,
      incarnation: context.incarnation,
      engineResumes,
      mayStart: (call) => {
        const { leftMs } = options.rest;
        if (leftMs > 0) return { error: 1409, retryAfterMs: leftMs };
        const hasRoom =
          this.gate.running < priorityLimit(attemptLimit, call.priority);
        return hasRoom && options.bodies.allows(call)
          ? undefined
          : { error: 1404, retryAfterMs: FULL_RETRY_AFTER_MS };
      },
      perform: (effect) => {
        this.perform(effect);
      },
      emit: context.emit,
    });
    this.runs = RunTasks.create(options.runner, this.gate, options.bodies);
    this.timer = setInterval(() => {
      this.gate.tick(performance.now());
    }, TICK_INTERVAL_MS);
  }

  static create(options: AgentSessionsOptions): AgentSessions {
    return new AgentSessions(options);
  }

  readonly service: AgentServer = {
    session: (stream) => {
      void this.serve(stream);
    },
    closeSession: (
      call: ServerUnaryCall<CloseSessionRequest, CloseSessionReply>,
      reply: sendUnaryData<CloseSessionReply>,
    ) => {
      const clock = this.options.context.clock.observe(call.request.clock);
      reply(null, { ...this.close(call.request), clock });
    },
  };

  /** Tells an entry that repeats a call what became of the earlier attempt. */
  askAttempt(query: AttemptQuery): AttemptAnswer {
    return answerAttemptQuery(this.gate, query, performance.now());
  }

  get runningCount(): number {
    return this.gate.running;
  }

  /** Resolves with the number of runs still active after the grace period. */
  async leave(graceMs: number): Promise<number> {
    this.gate.leave(graceMs, performance.now());
    return this.drained.promise;
  }

  report(load: LoadReport): void {
    this.gate.report(load, performance.now());
  }

  status(): AgentStatus {
    return this.gate.status();
  }

  [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    for (const connection of this.connections.keys()) {
      this.disconnect(connection);
    }
    this.runs.stopReading();
    return Promise.resolve();
  }

  private close({ session }: CloseSessionRequest): CloseSessionReply {
    const agentIncarnation = this.options.context.incarnation;
    const notClosed = { closed: false, agentIncarnation, started: [] };
    if (session === undefined) return writeCloseReply(notClosed);
    return writeCloseReply(this.gate.close(session, performance.now()));
  }

  private async serve(stream: EntryStream): Promise<void> {
    const { clock } = this.options.context;
    this.lastConnectionNumber += 1;
    const connection = this.lastConnectionNumber;
    const writer = FrameWriter.create<AgentFrame>((frames) => {
      stream.write({ clock: clock.read(), frames });
    });
    this.connections.set(connection, { stream, writer });
    try {
      for await (const batch of stream as AsyncIterable<EntryBatch>) {
        clock.observe(batch.clock);
        for (const message of batch.frames) {
          const frame = readEntryFrame(message);
          if (frame === undefined) continue;
          this.gate.receive(connection, frame, performance.now());
        }
      }
    } catch {
      // The connection failed; the gate keeps what the entry may resume.
    } finally {
      this.gate.connectionLost(connection, performance.now());
      this.disconnect(connection);
    }
  }

  private disconnect(connection: number): void {
    const existing = this.connections.get(connection);
    if (existing === undefined) return;
    this.connections.delete(connection);
    existing.writer.flush();
    existing.writer.close();
    existing.stream.end();
  }

  private perform(effect: AgentEffect): void {
    switch (effect.kind) {
      case "send":
        this.connections
          .get(effect.connection)
          ?.writer.push(writeAgentFrame(effect.frame));
        return;
      case "disconnect":
        this.disconnect(effect.connection);
        return;
      case "start-run":
      case "resume-run":
        this.runs.run(effect);
        return;
      case "cancel-run":
        this.runs.cancel(effect.run);
        return;
      case "drained":
        this.drained.resolve(effect.cutRuns);
        return;
      default:
        unreachable(effect);
    }
  }
}
