/**
 * A server whose every answer ends early: a raw socket that sends the head, a
 * part of the body, and then closes in good order or resets.
 */
import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";

export interface CutServer extends AsyncDisposable {
  /** host:port */
  readonly address: string;
}

export interface CutAnswer {
  readonly status: number;
  readonly body: Buffer;
  /** Bytes of the body that are sent. */
  readonly sent: number;
  readonly mark: "none" | "length" | "chunks";
  /** The head says that the connection closes after the answer. */
  readonly announcesClose: boolean;
  readonly end: "close" | "reset";
}

export type CutWay = Pick<CutAnswer, "mark" | "announcesClose" | "end">;

/** Every way to end early. Without a mark a close needs no announcement. */
export const cutWays: readonly CutWay[] = (["close", "reset"] as const).flatMap(
  (end) => [
    { mark: "none", announcesClose: false, end },
    { mark: "length", announcesClose: false, end },
    { mark: "length", announcesClose: true, end },
    { mark: "chunks", announcesClose: false, end },
    { mark: "chunks", announcesClose: true, end },
  ],
);

/** Long enough for what was sent before a reset to be read. */
const RESET_AFTER_MS = 30;

export async function startCutServer(answer: CutAnswer): Promise<CutServer> {
  const open = new Set<Socket>();
  const server = createServer((socket) => {
    open.add(socket);
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
      for (const socket of open) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function send(socket: Socket, answer: CutAnswer): void {
  socket.write(headOf(answer));
  const part = answer.body.subarray(0, answer.sent);
  if (answer.mark === "chunks" && part.length > 0) {
    socket.write(`${part.length.toString(16)}\r\n`);
    socket.write(Buffer.concat([part, Buffer.from("\r\n")]));
  } else socket.write(part);
  if (answer.end === "close") socket.end();
  else {
    setTimeout(() => {
      socket.resetAndDestroy();
    }, RESET_AFTER_MS);
  }
}

function headOf({ status, body, mark, announcesClose }: CutAnswer): string {
  const fields = ["content-type: application/json"];
  if (announcesClose) fields.push("connection: close");
  if (mark === "length") fields.push(`content-length: ${body.length}`);
  if (mark === "chunks") fields.push("transfer-encoding: chunked");
  return `HTTP/1.1 ${status} X\r\n${fields.join("\r\n")}\r\n\r\n`;
}
