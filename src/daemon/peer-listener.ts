/**
 * Serves other daemons over gRPC on a listener of its own, so that connections,
 * and what they send of incomplete messages, can be limited.
 */
import { createServer, type Socket } from "node:net";
import { getHeapStatistics } from "node:v8";
import {
  Server,
  ServerInterceptingCall,
  ServerListenerBuilder,
  ResponderBuilder,
  type ConnectionInjector,
  type ServerInterceptor,
} from "@grpc/grpc-js";
import {
  AcceptedConnections,
  type AcceptedConnection,
} from "../intake/accepted-connections.js";
import {
  acceptedConnectionLimit,
  descriptorsOf,
} from "../intake/descriptors.js";
import { memoryBytesOf } from "../intake/process-memory.js";
import {
  chooseUnfinished,
  type PeerInput,
} from "../intake/unfinished-input.js";
import type { Emit, Measurements } from "../internal.js";
import type { ListenSettings, TransportSettings } from "./settings.js";
import { channelOptions, serverCredentials } from "./transport.js";

export interface PeerListenerOptions {
  readonly settings: {
    readonly memoryMb?: number | undefined;
    readonly descriptors?: number | undefined;
    readonly peerInputShare: number;
  };
  readonly emit: Emit;
  readonly measurements: Measurements;
  /** Largest message that is accepted, bytes; without it, the library's. */
  readonly messageBytes?: number;
}

/** Its key is what the library calls the peer. */
class PeerConnection implements AcceptedConnection<string>, PeerInput {
  /** Calls end on their own; a connection without messages may go. */
  readonly openRequests = 0;
  hasSentRequest = false;
  restingSinceMs = performance.now();
  private messageEndBytes = 0;

  private constructor(
    readonly key: string,
    readonly socket: Socket,
  ) {}

  static create(socket: Socket): PeerConnection {
    const { remoteAddress = "", remotePort = 0 } = socket;
    return new PeerConnection(`${remoteAddress}:${remotePort}`, socket);
  }

  get unfinishedBytes(): number {
    return this.socket.bytesRead - this.messageEndBytes;
  }

  onMessage(): void {
    this.hasSentRequest = true;
    this.restingSinceMs = performance.now();
    this.messageEndBytes = this.socket.bytesRead;
  }
}

const CHECK_INTERVAL_MS = 100;
/** Share of the heap from which on it counts as short. */
const SHORT_HEAP_SHARE = 0.5;
const MAXIMUM_CALLS_PER_CONNECTION = 100;

export class PeerListener implements AsyncDisposable {
  readonly server: Server;
  private readonly connections: AcceptedConnections<string, PeerConnection>;
  private readonly listener = createServer();
  private readonly capacityBytes: number;
  private timer: NodeJS.Timeout | undefined;

  private constructor(options: PeerListenerOptions) {
    const { settings, messageBytes } = options;
    this.capacityBytes = memoryBytesOf(settings) * settings.peerInputShare;
    const descriptors = descriptorsOf(settings);
    const limit = acceptedConnectionLimit({ descriptors, outgoing: 0 });
    this.connections = AcceptedConnections.create({
      ...options,
      listener: "peers",
      maximumConnections: () => limit,
    });
    this.server = new Server({
      ...channelOptions,
      ...(messageBytes === undefined
        ? {}
        : { "grpc.max_receive_message_length": messageBytes }),
      "grpc.max_concurrent_streams": MAXIMUM_CALLS_PER_CONNECTION,
      interceptors: [this.watchMessages()],
    });
  }

  static create(options: PeerListenerOptions): PeerListener {
    return new PeerListener(options);
  }

  /** Must be called once services are added; returns the bound host:port. */
  async bind(
    { host, port }: ListenSettings,
    transport: TransportSettings,
  ): Promise<string> {
    const credentials = serverCredentials(transport, `${host}:${port}`);
    const injector = this.server.createConnectionInjector(credentials);
    this.listener.on("connection", (socket) => {
      this.accept(socket, injector);
    });
    await new Promise<void>((resolve, reject) => {
      this.listener.once("error", reject);
      this.listener.listen(port, host, resolve);
    });
    this.timer = setInterval(() => {
      this.limitInput();
    }, CHECK_INTERVAL_MS);
    const address = this.listener.address();
    const isBound = address !== null && typeof address === "object";
    return `${host}:${isBound ? address.port : port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    this.server.forceShutdown();
    for (const { socket } of this.connections.list()) socket.destroy();
    if (!this.listener.listening) return;
    await new Promise((resolve) => {
      this.listener.close(resolve);
    });
  }

  private accept(socket: Socket, injector: ConnectionInjector): void {
    socket.on("error", () => undefined);
    const connection = PeerConnection.create(socket);
    if (this.connections.tryAdd(connection)) injector.injectConnection(socket);
  }

  /** Notes when a message of a connection is complete. */
  private watchMessages(): ServerInterceptor {
    return (_method, call) =>
      new ServerInterceptingCall(
        call,
        new ResponderBuilder()
          .withStart((next) => {
            next(
              new ServerListenerBuilder()
                .withOnReceiveMessage((message: unknown, pass) => {
                  this.connections.find(call.getPeer())?.onMessage();
                  pass(message);
                })
                .build(),
            );
          })
          .build(),
      );
  }

  private limitInput(): void {
    const { used_heap_size: used, heap_size_limit: limit } =
      getHeapStatistics();
    const chosen = chooseUnfinished(this.connections.list(), {
      capacityBytes: this.capacityBytes,
      isHeapShort: used > limit * SHORT_HEAP_SHARE,
    });
    for (const connection of chosen) {
      this.connections.close(connection, "memory");
    }
  }
}
