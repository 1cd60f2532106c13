/**
 * HTTP server on a raw socket that truncates every response: it sends the head
 * and part of the body, then closes or resets the connection.
 */
import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";

export interface TruncatingServer extends AsyncDisposable {
  /** Address in the form `host:port`. */
  readonly address: string;
}

export interface TruncatedResponse {
  readonly status: number;
  readonly body: Buffer;
  /** Number of body bytes to send. */
  readonly sentBytes: number;
  readonly framing: "none" | "length" | "chunks";
  /** Sends `connection: close`. */
  readonly announcesClose: boolean;
  readonly end: "close" | "reset";
}

export type Truncation = Pick<
  TruncatedResponse,
  "framing" | "announcesClose" | "end"
>;

/**
 * Every combination of framing and connection end. Without framing, the body
 * ends with the connection, so `connection: close` would change nothing.
 */
export const truncations: readonly Truncation[] = (
  ["close", "reset"] as const
).flatMap((end) => [
  { framing: "none", announcesClose: false, end },
  { framing: "length", announcesClose: false, end },
  { framing: "length", announcesClose: true, end },
  { framing: "chunks", announcesClose: false, end },
  { framing: "chunks", announcesClose: true, end },
]);

/**
 * Delay before a reset, ms. Long enough for the client to read what was sent.
 */
const RESET_DELAY_MS = 30;

export async function startTruncatingServer(
  answer: TruncatedResponse,
): Promise<TruncatingServer> {
  const openSockets = new Set<Socket>();
  const server = createServer((socket) => {
    openSockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => {
      send(socket, answer);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    async [Symbol.asyncDispose]() {
      for (const socket of openSockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function send(socket: Socket, answer: TruncatedResponse): void {
  socket.write(formatHead(answer));
  const part = answer.body.subarray(0, answer.sentBytes);
  if (answer.framing === "chunks" && part.length > 0) {
    socket.write(`${part.length.toString(16)}\r\n`);
    socket.write(Buffer.concat([part, Buffer.from("\r\n")]));
  } else socket.write(part);
  if (answer.end === "close") socket.end();
  else {
    setTimeout(() => {
      socket.resetAndDestroy();
    }, RESET_DELAY_MS);
  }
}

function formatHead({
  status,
  body,
  framing,
  announcesClose,
}: TruncatedResponse): string {
  const fields = ["content-type: application/json"];
  if (announcesClose) fields.push("connection: close");
  if (framing === "length") fields.push(`content-length: ${body.length}`);
  if (framing === "chunks") fields.push("transfer-encoding: chunked");
  return `HTTP/1.1 ${status} X\r\n${fields.join("\r\n")}\r\n\r\n`;
}
