/** The entry's side of one session to the agent of one backend server. */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import {
  AgentClient,
  type AgentBatch,
  type AgentFrame,
  type Dispatch,
  type EntryBatch,
  type EntryFrame,
  type LoadReport,
} from "../../wire/generated/session.js";
import { FrameWriter } from "../frame-writer.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { channelOptions, clientCredentials } from "../transport.js";
import { RELEASE } from "../../release.js";

export type AttemptFrame = Extract<
  NonNullable<AgentFrame["body"]>,
  { $case: "started" | "head" | "piece" | "end" | "refused" | "broken" }
>;

/** Takes the frames of one attempt; "lost" when the session ended before. */
export type AttemptListener = (frame: AttemptFrame | { $case: "lost" }) => void;

export interface AgentSessionOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  /** Name of the backend server VM. */
  readonly runner: string;
  readonly address: string;
  readonly number: number;
  readonly signal: AbortSignal;
}

export class AgentSession {
  private readonly listeners = new Map<string, AttemptListener>();
  private readonly client: AgentClient;
  private readonly stream: ClientDuplexStream<EntryBatch, AgentBatch>;
  private readonly writer: FrameWriter<EntryFrame>;
  private opened = false;
  /** Empty before the agent has opened the session. */
  agentIncarnation = "";
  leaving = false;
  load: LoadReport | undefined;

  private constructor(private readonly options: AgentSessionOptions) {
    const { context, transport, address } = options;
    const credentials = clientCredentials(transport, address);
    this.client = new AgentClient(address, credentials, channelOptions);
    this.stream = this.client.session();
    this.writer = FrameWriter.create<EntryFrame>((frames) => {
      this.stream.write({ clock: context.clock.read(), frames });
    });
  }

  static create(options: AgentSessionOptions): AgentSession {
    return new AgentSession(options);
  }

  get takesWork(): boolean {
    return this.opened && !this.leaving;
  }

  get inFlight(): number {
    return this.listeners.size;
  }

  dispatch(value: Dispatch, listener: AttemptListener): void {
    this.listeners.set(value.attempt, listener);
    this.writer.push({ body: { $case: "dispatch", value } });
  }

  cancel(attempt: string): void {
    this.writer.push({ body: { $case: "cancel", value: { attempt } } });
  }

  forget(attempt: string): void {
    this.listeners.delete(attempt);
  }

  /** Reads frames until the session ends. */
  async run(): Promise<void> {
    const { context, runner, number, signal } = this.options;
    const stop = (): void => {
      this.stream.cancel();
    };
    signal.addEventListener("abort", stop, { once: true });
    let reason = "closed by the agent";
    try {
      this.sendOpen();
      for await (const batch of this.stream as AsyncIterable<AgentBatch>) {
        context.clock.observe(batch.clock);
        for (const frame of batch.frames) this.onFrame(frame);
      }
    } catch (error) {
      reason = error instanceof Error ? error.message : "unknown";
    } finally {
      signal.removeEventListener("abort", stop);
      if (this.opened) context.emit(142, { runner, session: number, reason });
      this.close();
    }
  }

  private sendOpen(): void {
    const { context, number } = this.options;
    const value = {
      entry: context.name,
      entryIncarnation: context.incarnation,
      number,
      dataCentre: context.dataCentre,
      release: RELEASE,
    };
    this.writer.push({ body: { $case: "open", value } });
  }

  private onFrame({ body }: AgentFrame): void {
    if (body === undefined) return;
    switch (body.$case) {
      case "opened": {
        const { runner, number } = this.options;
        this.opened = true;
        this.agentIncarnation = body.value.session?.agentIncarnation ?? "";
        this.options.context.emit(141, { runner, session: number });
        break;
      }
      case "leaving":
        this.leaving = true;
        break;
      case "load":
        this.load = body.value;
        break;
      case "heartbeat":
        break;
      case "refused":
        if (body.value.error === 1402) this.leaving = true;
        this.listeners.get(body.value.attempt)?.(body);
        break;
      default:
        this.listeners.get(body.value.attempt)?.(body);
    }
  }

  private close(): void {
    this.opened = false;
    this.writer.close();
    this.client.close();
    for (const listener of this.listeners.values()) listener({ $case: "lost" });
    this.listeners.clear();
  }
}
