/**
 * Cost of idle sessions on real sockets, with the entry and the agent side in
 * this process. In every heartbeat period the entry sends a heartbeat on each
 * session, and the agent answers with a heartbeat and a load report. A relay
 * between the two counts the bytes.
 */
import {
  createServer,
  connect,
  type AddressInfo,
  type Server as RelayServer,
  type Socket,
} from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  credentials,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
} from "@grpc/grpc-js";
import {
  AgentClient,
  AgentService,
  type AgentBatch,
  type EntryBatch,
} from "../src/wire/generated/session.js";
import { SESSION_LIMITS } from "../src/internal.js";
import { usedBytesAfterCollection } from "./slopes-fit.js";

export interface SessionCost {
  /** Processor time of both ends for all sessions, in µs a second. */
  readonly processorMicroseconds: number;
  /** Memory that all sessions retain at both ends. */
  readonly bytes: number;
  /** TCP payload in both directions for all sessions, in bytes a second. */
  readonly wireBytes: number;
}

const CLOCK = { physicalMs: 1_700_000_000_000, counter: 1 };
const { heartbeatMs: HEARTBEAT_MS } = SESSION_LIMITS;
const SETTLE_MS = 1500;
const MEASURED_SECONDS = 5;
const LOAD = {
  running: 12,
  waiting: 3,
  waitingTokens: 9000,
  freeBlocks: 5000,
  totalBlocks: 20_000,
  ageMs: 40,
  stepMs: 6,
};

/** Measures the total cost of `sessions` idle sessions. */
export async function measureSessions(sessions: number): Promise<SessionCost> {
  const server = await startAgent();
  const relay = await startRelay(server.port);
  const memoryBefore = usedBytesAfterCollection();
  const closeSessions = Array.from({ length: sessions }, () =>
    openSession(relay.port),
  );
  await sleep(SETTLE_MS);
  const bytes = usedBytesAfterCollection() - memoryBefore;
  const cpuBefore = process.cpuUsage();
  const bytesBefore = relay.bytes();
  await sleep(MEASURED_SECONDS * 1000);
  const { user, system } = process.cpuUsage(cpuBefore);
  const wireBytes = (relay.bytes() - bytesBefore) / MEASURED_SECONDS;
  for (const close of closeSessions) close();
  server.stop();
  relay.stop();
  const processorMicroseconds = (user + system) / MEASURED_SECONDS;
  return { processorMicroseconds, bytes, wireBytes };
}

async function startAgent(): Promise<{ port: number; stop: () => void }> {
  const server = new Server();
  server.addService(AgentService, {
    session: (stream: ServerDuplexStream<EntryBatch, AgentBatch>) => {
      stream.on("data", ({ frames }: EntryBatch) => {
        const [{ body }] = frames;
        if (body?.$case !== "heartbeat") return;
        const load = { $case: "load" as const, value: LOAD };
        const reply = [{ body }, { body: load }];
        stream.write({ clock: CLOCK, frames: reply });
      });
      stream.on("error", () => undefined);
      stream.on("end", () => {
        stream.end();
      });
    },
    closeSession: () => undefined,
  });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (error, bound) => {
        if (error === null) resolve(bound);
        else reject(error);
      },
    );
  });
  return {
    port,
    stop: () => {
      server.forceShutdown();
    },
  };
}

interface Relay {
  readonly port: number;
  readonly bytes: () => number;
  readonly stop: () => void;
}

async function startRelay(targetPort: number): Promise<Relay> {
  let bytes = 0;
  const sockets = new Set<Socket>();
  const forward = (from: Socket, to: Socket): void => {
    sockets.add(from);
    from.on("data", (data) => {
      bytes += data.length;
      to.write(data);
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      to.destroy();
    });
  };
  const relay: RelayServer = createServer((socket) => {
    const upstream = connect(targetPort, "127.0.0.1");
    forward(socket, upstream);
    forward(upstream, socket);
  });
  await new Promise<void>((resolve) => {
    relay.listen(0, "127.0.0.1", resolve);
  });
  const { port } = relay.address() as AddressInfo;
  const stop = (): void => {
    for (const socket of sockets) socket.destroy();
    relay.close();
  };
  return { port, bytes: () => bytes, stop };
}

function openSession(port: number): () => void {
  const client = new AgentClient(
    `127.0.0.1:${port}`,
    credentials.createInsecure(),
    { "grpc.use_local_subchannel_pool": 1 },
  );
  const stream = client.session();
  stream.on("data", () => undefined);
  stream.on("error", () => undefined);
  let sequence = 0;
  const timer = setInterval(() => {
    const value = {
      sequence: sequence++,
      settledBelow: 0,
      leavingSeen: false,
    };
    const body = { $case: "heartbeat" as const, value };
    stream.write({ clock: CLOCK, frames: [{ body }] });
  }, HEARTBEAT_MS);
  return () => {
    clearInterval(timer);
    stream.cancel();
    client.close();
  };
}
