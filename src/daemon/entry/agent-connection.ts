/** One connection of an entry to an agent, for one session number. */
import {
  Metadata,
  type ClientDuplexStream,
  type ServiceError,
} from "@grpc/grpc-js";
import type {
  AgentFrame,
  CloseReply,
  EntryFrame,
  SessionId,
} from "../../internal.js";
import {
  AgentClient,
  type AgentBatch,
  type CloseSessionReply,
  type EntryBatch,
  type EntryFrame as EntryMessage,
} from "../../wire/generated/session.js";
import { FrameWriter } from "../frame-writer.js";
import type { ProcessContext } from "../process-context.js";
import { readAgentFrame, writeEntryFrame } from "../session-frames.js";
import type { TransportSettings } from "../settings.js";
import { channelOptions, clientCredentials } from "../transport.js";

export interface ConnectionOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  readonly address: string;
  readonly onFrame: (frame: AgentFrame) => void;
}

export class AgentConnection {
  private readonly client: AgentClient;
  private readonly stream: ClientDuplexStream<EntryBatch, AgentBatch>;
  private readonly writer: FrameWriter<EntryMessage>;

  private constructor(private readonly options: ConnectionOptions) {
    const { context } = options;
    this.client = createClient(options);
    this.stream = this.client.session();
    this.writer = FrameWriter.create<EntryMessage>((frames) => {
      this.stream.write({ clock: context.clock.read(), frames });
    });
  }

  static create(options: ConnectionOptions): AgentConnection {
    return new AgentConnection(options);
  }

  send(frame: EntryFrame): void {
    this.writer.push(writeEntryFrame(frame));
  }

  /** Reads frames until the connection ends; resolves with the reason. */
  async run(): Promise<string> {
    const { context, onFrame } = this.options;
    try {
      for await (const batch of this.stream as AsyncIterable<AgentBatch>) {
        context.clock.observe(batch.clock);
        for (const message of batch.frames) {
          const frame = readAgentFrame(message);
          if (frame !== undefined) onFrame(frame);
        }
      }
      return "closed by the agent";
    } catch (error) {
      return error instanceof Error ? error.message : "unknown";
    } finally {
      this.close();
    }
  }

  /** What is still written goes nowhere; what arrives isn't read. */
  close(): void {
    this.writer.close();
    this.stream.cancel();
    this.client.close();
  }
}

/**
 * Closes a session over a connection of its own: the one that it ran on may
 * be silent, and a new session to the agent may not be open yet.
 */
export async function closeSession(
  options: Omit<ConnectionOptions, "onFrame">,
  session: SessionId,
  timeoutMs: number,
): Promise<CloseReply> {
  const { context } = options;
  const client = createClient(options);
  try {
    return await new Promise<CloseReply>((resolve, reject) => {
      const request = { clock: context.clock.read(), session };
      const deadline = Date.now() + timeoutMs;
      const answered = (
        error: ServiceError | null,
        reply: CloseSessionReply,
      ): void => {
        if (error !== null) reject(error);
        else {
          context.clock.observe(reply.clock);
          resolve(reply);
        }
      };
      client.closeSession(request, new Metadata(), { deadline }, answered);
    });
  } finally {
    client.close();
  }
}

function createClient({
  transport,
  address,
}: Omit<ConnectionOptions, "onFrame">): AgentClient {
  const credentials = clientCredentials(transport, address);
  return new AgentClient(address, credentials, channelOptions);
}
