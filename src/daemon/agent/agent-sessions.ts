/** The agent's side of its sessions: one task for each connected entry. */
import { crc32 } from "node:zlib";
import type {
  sendUnaryData,
  ServerDuplexStream,
  ServerUnaryCall,
} from "@grpc/grpc-js";
import {
  ClaimGate,
  toFailure,
  type AttemptAnswer,
  type AttemptQuestion,
  type ErrorNumber,
} from "../../internal.js";
import {
  AgentService,
  type AgentBatch,
  type AgentFrame,
  type AgentServer,
  type CloseSessionReply,
  type CloseSessionRequest,
  type Dispatch,
  type EntryBatch,
  type EntryFrame,
} from "../../wire/generated/session.js";
import { FrameWriter } from "../frame-writer.js";
import type { ProcessContext } from "../process-context.js";
import type { RunnerClient } from "./runner-client.js";

export { AgentService };

export interface AgentSessionsOptions {
  readonly context: ProcessContext;
  readonly runner: RunnerClient;
  readonly group: string;
  readonly attemptLimit: number;
}

type EntryStream = ServerDuplexStream<EntryBatch, AgentBatch>;
type FrameBody = NonNullable<AgentFrame["body"]>;

interface RunningAttempt {
  readonly abort: AbortController;
  readonly repeatable: boolean;
}

export class AgentSessions {
  private readonly writers = new Set<FrameWriter<AgentFrame>>();
  private readonly running = new Map<string, RunningAttempt>();
  private readonly gate: ClaimGate;
  private leaving = false;

  private constructor(private readonly options: AgentSessionsOptions) {
    this.gate = ClaimGate.create(options.context.incarnation);
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
      const { context } = this.options;
      reply(null, {
        clock: context.clock.observe(call.request.clock),
        closed: false,
        agentIncarnation: context.incarnation,
        started: [],
      });
    },
  };

  /** What entries are told that repeat a call. */
  askAttempt(question: AttemptQuestion, nowMs: number): AttemptAnswer {
    return this.gate.answer(question, nowMs);
  }

  get runningCount(): number {
    return this.running.size;
  }

  leave(graceMs: number): void {
    this.leaving = true;
    this.broadcast({ $case: "leaving", value: { graceMs } });
  }

  broadcast(body: FrameBody): void {
    for (const writer of this.writers) writer.push({ body });
  }

  private async serve(stream: EntryStream): Promise<void> {
    const { clock } = this.options.context;
    const writer = FrameWriter.create<AgentFrame>((frames) => {
      stream.write({ clock: clock.read(), frames });
    });
    this.writers.add(writer);
    try {
      for await (const batch of stream as AsyncIterable<EntryBatch>) {
        clock.observe(batch.clock);
        for (const frame of batch.frames) this.onFrame(frame, writer);
      }
    } catch {
      // The entry is gone; its attempts end by themselves.
    } finally {
      writer.flush();
      writer.close();
      this.writers.delete(writer);
      stream.end();
    }
  }

  private onFrame({ body }: EntryFrame, writer: FrameWriter<AgentFrame>): void {
    switch (body?.$case) {
      case "open":
        this.onOpen(body.value, writer);
        break;
      case "dispatch":
        void this.runAttempt(body.value, writer);
        break;
      case "cancel":
        this.running.get(body.value.attempt)?.abort.abort();
        break;
      case "heartbeat":
        writer.push({ body });
        break;
      case undefined:
        break;
    }
  }

  private onOpen(
    open: { entry: string; entryIncarnation: string; number: number },
    writer: FrameWriter<AgentFrame>,
  ): void {
    const { context, group } = this.options;
    const { entry, entryIncarnation, number } = open;
    const agentIncarnation = context.incarnation;
    const session = { entry, entryIncarnation, agentIncarnation, number };
    const value = { session, runner: context.name, group };
    writer.push({ body: { $case: "opened", value } });
  }

  private async runAttempt(
    dispatch: Dispatch,
    writer: FrameWriter<AgentFrame>,
  ): Promise<void> {
    const { attempt, request, repeatable, account } = dispatch;
    const { context, runner, attemptLimit } = this.options;
    const send = (body: FrameBody): void => {
      writer.push({ body });
    };
    const refuse = (error: ErrorNumber): void => {
      if (!repeatable) this.gate.refuse(attempt, account, Date.now());
      const value = { attempt, error, retryAfterMs: 0 };
      send({ $case: "refused", value });
    };
    if (this.leaving) {
      refuse(1402);
      return;
    }
    if (this.running.size >= attemptLimit) {
      refuse(1404);
      return;
    }
    if (!repeatable) {
      const verdict = this.gate.tryStart(attempt, account, Date.now());
      if (verdict === "started-before") return;
      if (verdict !== "start") {
        refuse(1406);
        return;
      }
    }
    const abort = new AbortController();
    this.running.set(attempt, { abort, repeatable: dispatch.repeatable });
    send({ $case: "started", value: { attempt } });
    context.emit(123, { request, attempt });
    let count = 0;
    let checksum = 0;
    try {
      const sink = {
        head: (
          status: number,
          headers: readonly { name: string; value: string }[],
        ) => {
          send({ $case: "head", value: { attempt, status, headers } });
        },
        piece: (data: Buffer) => {
          send({ $case: "piece", value: { attempt, index: count, data } });
          count += 1;
          checksum = crc32(data, checksum);
        },
      };
      await runner.run(dispatch, sink, abort.signal);
      send({ $case: "end", value: { attempt, count, checksum } });
    } catch (error) {
      const { number } = toFailure(error, 1216);
      send({ $case: "broken", value: { attempt, error: number } });
    } finally {
      this.running.delete(attempt);
    }
  }
}
