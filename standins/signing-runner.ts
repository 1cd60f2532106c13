/**
 * Simulates a runner of the users' platform. It signs its responses, rejects
 * requests addressed to another runner, and can be given faulty behaviour.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { headerNames } from "../platform/names.js";
import { listen, type ListeningServer } from "../src/daemon/listening.js";

/** A request as received by the runner. */
export interface ReceivedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /** Monotonic, ms. */
  readonly receivedAtMs: number;
  /** Set if the connection closed before the response was complete. */
  isAborted: boolean;
}

export interface Exchange {
  readonly received: ReceivedRequest;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Response headers that identify the runner and the attempt. */
  readonly signatureHeaders: Readonly<Record<string, string>>;
}

export type Behaviour = (exchange: Exchange) => void | Promise<void>;

const HTTP_MISDIRECTED_REQUEST = 421;

export class SigningRunner implements AsyncDisposable {
  readonly receivedRequests: ReceivedRequest[] = [];
  /** Number of requests addressed to another runner. */
  misdirected = 0;
  /** Number of crashes so far. */
  crashes = 0;
  private listeningServer: ListeningServer | undefined;
  private server: Server | undefined;
  private isDisposed = false;

  private constructor(
    readonly id: string,
    private behave: Behaviour,
  ) {}

  static async create(id: string, behave: Behaviour): Promise<SigningRunner> {
    const runner = new SigningRunner(id, behave);
    await runner.listen(0);
    return runner;
  }

  /** Closes all connections and listens at the same address after `downMs`. */
  async crash(downMs: number): Promise<void> {
    const { address } = this;
    this.crashes += 1;
    this.server?.closeAllConnections();
    this.server?.close();
    await sleepMs(downMs);
    if (!this.isDisposed) await this.listen(Number(address.split(":").at(-1)));
  }

  /** host:port */
  get address(): string {
    return this.listeningServer?.address ?? "";
  }

  set behaviour(behave: Behaviour) {
    this.behave = behave;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    await this.listeningServer?.[Symbol.asyncDispose]();
  }

  private async listen(port: number): Promise<void> {
    const server = createServer((request, response) => {
      void this.handleRequest(request, response);
    });
    this.server = server;
    this.listeningServer = await listen(server, { host: "127.0.0.1", port });
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const expected = request.headers[headerNames.expectedRunner];
    if (expected !== undefined && expected !== this.id) {
      this.misdirected += 1;
      response.writeHead(HTTP_MISDIRECTED_REQUEST).end();
      return;
    }
    const received = await readRequest(request);
    if (received === undefined) return;
    response.once("close", () => {
      received.isAborted = !response.writableFinished;
    });
    this.receivedRequests.push(received);
    const attempt = String(request.headers[headerNames.attemptId]);
    const signatureHeaders = {
      [headerNames.attemptId]: attempt,
      [headerNames.signature]: `${this.id}.${attempt}`,
    };
    await this.behave({ received, request, response, signatureHeaders });
  }
}

/** Sends a complete response. */
export function answerWith(body: string, status = 200): Behaviour {
  return ({ response, signatureHeaders }) => {
    response.writeHead(status, signatureHeaders).end(body);
  };
}

/**
 * Names a limit in the answers of `behave`, requests per second from all
 * entries together, while `limit` returns one.
 */
export function namingLimit(
  limit: () => number | undefined,
  behave: Behaviour,
): Behaviour {
  return (exchange) => {
    const requestsPerSecond = limit();
    if (requestsPerSecond !== undefined) {
      const value = String(requestsPerSecond);
      exchange.response.setHeader(headerNames.requestsPerSecond, value);
    }
    return behave(exchange);
  };
}

/** Rejects as full and asks for rest with this value of Retry-After. */
export function askForRest(value: string): Behaviour {
  return ({ response }) => {
    response
      .writeHead(503, {
        [headerNames.notRun]: "1",
        [headerNames.retryAfter]: value,
      })
      .end();
  };
}

/** Says in the answers of `behave` that it leaves, while `isLeaving`. */
export function sayingItLeaves(
  isLeaving: () => boolean,
  behave: Behaviour,
): Behaviour {
  return (exchange) => {
    if (isLeaving()) exchange.response.setHeader(headerNames.leaving, "1");
    return behave(exchange);
  };
}

/** What happens to the connection after a raw response was written. */
export type ConnectionEnd = "end" | "reset" | "open";

/** Delay between the last response byte and the connection reset. */
const RESET_DELAY_MS = 20;

/**
 * Writes a raw 200 response. `head` holds complete header lines; the body is
 * unframed unless they declare its length or chunking.
 */
export function answerRaw(
  head: string,
  body: string,
  end: ConnectionEnd = "open",
): (exchange: Pick<Exchange, "request" | "signatureHeaders">) => void {
  return ({ request: { socket }, signatureHeaders }) => {
    const lines = Object.entries(signatureHeaders).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}${head}\r\n${body}`);
    if (end === "end") socket.end();
    if (end !== "reset") return;
    setTimeout(() => {
      socket.resetAndDestroy();
    }, RESET_DELAY_MS);
  };
}

/** A 200 response whose body is delimited by the connection close. */
export function answerUntilClose(body: string): Behaviour {
  return answerRaw("", body, "end");
}

/** Rejects with 503 and the header that says nothing was executed. */
export const refuseAsFull: Behaviour = ({ response }) => {
  response.writeHead(503, { [headerNames.notRun]: "1" }).end();
};

/** Reads the request, then resets the connection without a response. */
export const resetUnanswered: Behaviour = ({ request }) => {
  request.socket.resetAndDestroy();
};

/** Never responds. */
export const neverRespond: Behaviour = () => undefined;

/**
 * Streams events, resuming after the Last-Event-ID header. With `breakAfter`,
 * resets the connection in the middle of the event that follows that id.
 */
export function streamEvents(total: number, breakAfter?: number): Behaviour {
  return async ({ request, response, signatureHeaders }) => {
    const after = Number(request.headers[headerNames.lastEventId] ?? 0);
    response.writeHead(200, {
      ...signatureHeaders,
      "content-type": "text/event-stream",
    });
    for (let id = after + 1; id <= total; id += 1) {
      if (breakAfter !== undefined && id > breakAfter) {
        response.write(`id: ${id}\ndata: ha`);
        await sleepMs(5);
        request.socket.resetAndDestroy();
        return;
      }
      response.write(formatEvent(id));
      await sleepMs(1);
    }
    response.end();
  };
}

export function formatEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Undefined if the connection closes before the end of the body. */
async function readRequest(
  request: IncomingMessage,
): Promise<ReceivedRequest | undefined> {
  const parts: Buffer[] = [];
  try {
    for await (const part of request) parts.push(part as Buffer);
  } catch {
    return undefined;
  }
  return {
    method: request.method ?? "",
    target: request.url ?? "",
    headers: request.headers,
    body: Buffer.concat(parts).toString(),
    receivedAtMs: performance.now(),
    isAborted: false,
  };
}

function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
