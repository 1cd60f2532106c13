/** An entry's connection to an agent, used for a single session number. */
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

export interface AgentConnectionOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  readonly address: string;
  readonly onFrame: (frame: AgentFrame) => void;
}

export class AgentConnection {
  private readonly client: AgentClient;
  private readonly stream: ClientDuplexStream<EntryBatch, AgentBatch>;
  private readonly writer: FrameWriter<EntryMessage>;

  private constructor(private readonly options: AgentConnectionOptions) {
    const { context } = options;
    this.client = createClient(options);
    this.stream = this.client.session();
    this.writer = FrameWriter.create<EntryMessage>((frames) => {
      this.stream.write({ clock: context.clock.read(), frames });
    });
  }

  static create(options: AgentConnectionOptions): AgentConnection {
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

  /** Drops frames that weren't sent yet and stops reading. */
  close(): void {
    this.writer.close();
    this.stream.cancel();
    this.client.close();
  }
}

/**
 * Closes a session over a separate connection: the session's own connection
 * may be unresponsive, and a new session may not be open yet.
 */
export async function closeSession(
  options: Omit<AgentConnectionOptions, "onFrame">,
  session: SessionId,
  timeoutMs: number,
): Promise<CloseReply> {
  const { context } = options;
  const client = createClient(options);
  try {
    return await new Promise<CloseReply>((resolve, reject) => {
      const request = { clock: context.clock.read(), session };
      const deadline = Date.now() + timeoutMs;
      const onReply = (
        error: ServiceError | null,
        reply: CloseSessionReply,
      ): void => {
        if (error !== null) reject(error);
        else {
          context.clock.observe(reply.clock);
          resolve(reply);
        }
      };
      client.closeSession(request, new Metadata(), { deadline }, onReply);
    });
  } finally {
    client.close();
  }
}

function createClient({
  transport,
  address,
}: Omit<AgentConnectionOptions, "onFrame">): AgentClient {
  const credentials = clientCredentials(transport, address);
  return new AgentClient(address, credentials, channelOptions);
}
