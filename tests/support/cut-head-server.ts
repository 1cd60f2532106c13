/**
 * Runner on a raw socket that ends its connection inside the head of an answer.
 * Any other request gets a complete answer on a connection that stays open.
 */
import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { headerNames } from "../../platform/names.js";
import { formatEvent } from "../../standins/signing-runner.js";

export const CUT_PATH = "/once/cut";
export const ATTEMPT_ID = "attempt-1";
export type ConnectionEnd = "close" | "reset";

/** Delay before a reset, ms: the client has read what was sent by then. */
const RESET_DELAY_MS = 5;
const SIGNED_HEAD = [
  "HTTP/1.1 200 OK",
  `${headerNames.attemptId}: ${ATTEMPT_ID}`,
  `${headerNames.signature}: signature`,
].join("\r\n");

/** Complete heads, whose framing differs. */
export const heads: Readonly<Record<string, string>> = {
  "with a length": `${SIGNED_HEAD}\r\ncontent-length: 7\r\n\r\n`,
  "with an empty body": `${SIGNED_HEAD}\r\ncontent-length: 0\r\n\r\n`,
  "with a length and a close": `${SIGNED_HEAD}\r\nconnection: close\r\ncontent-length: 7\r\n\r\n`,
  "with chunks": `${SIGNED_HEAD}\r\ntransfer-encoding: chunked\r\n\r\n`,
  "of a stream": `${SIGNED_HEAD}\r\ncontent-type: text/event-stream\r\n\r\n`,
  "after early hints": `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${SIGNED_HEAD}\r\ncontent-length: 7\r\n\r\n`,
  "after early hints that announce a close": `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n${SIGNED_HEAD}\r\ncontent-length: 7\r\n\r\n`,
};

export interface Cut {
  readonly head: string;
  /** Bytes of the head that are sent. */
  readonly length: number;
  readonly end: ConnectionEnd;
}

/** Every place inside the head. */
export function cutsOf(head: string, end: ConnectionEnd): readonly Cut[] {
  return Array.from({ length: head.length }, (_, length) => ({
    head,
    length,
    end,
  }));
}

export class CutHeadServer implements AsyncDisposable {
  /** The next request of `CUT_PATH` is answered with this. */
  cut: Cut | undefined;
  /** Requests on the connection of the last cut, including that one. */
  requestsOnConnection = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: ReturnType<typeof createServer>,
  ) {
    server.on("connection", (socket: Socket) => {
      this.serve(socket);
    });
  }

  static async create(): Promise<CutHeadServer> {
    const server = createServer();
    const cutting = new CutHeadServer(server);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return cutting;
  }

  /** Address in the form `host:port`. */
  get address(): string {
    const { port } = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
    await once(this.server, "close");
  }

  private serve(socket: Socket): void {
    let requests = 0;
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.once("close", () => this.sockets.delete(socket));
    socket.on("data", (data: Buffer) => {
      requests += 1;
      if (data.toString("latin1").includes(` ${CUT_PATH} `)) {
        this.requestsOnConnection = requests;
        this.answerCut(socket);
      } else {
        const body = formatEvent(1);
        socket.write(
          `${SIGNED_HEAD}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
      }
    });
  }

  private answerCut(socket: Socket): void {
    const { cut } = this;
    if (cut === undefined) return;
    socket.write(cut.head.slice(0, cut.length));
    if (cut.end === "close") socket.end();
    else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  }
}
