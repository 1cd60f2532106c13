/**
 * Stand-in of a runner of the users' platform: names itself, signs what it
 * answers, refuses what is meant for another, and misbehaves on demand.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { headerNames } from "../platform/names.js";
import { listen, type Listening } from "../src/daemon/listening.js";

/** A request as the runner got it. */
export interface Arrival {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /** Set when the connection closed before the answer was whole. */
  isAbandoned: boolean;
}

export interface Exchange {
  readonly arrival: Arrival;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Names the runner and the attempt. */
  readonly signed: Readonly<Record<string, string>>;
}

export type Behaviour = (exchange: Exchange) => void | Promise<void>;

const MISDIRECTED = 421;

export class SigningRunner implements AsyncDisposable {
  readonly arrivals: Arrival[] = [];
  /** Requests meant for another runner. */
  misdirected = 0;
  /** How often it has crashed. */
  crashes = 0;
  private listening: Listening | undefined;
  private server: Server | undefined;
  private isOver = false;

  private constructor(
    readonly id: string,
    private behave: Behaviour,
  ) {}

  static async create(id: string, behave: Behaviour): Promise<SigningRunner> {
    const runner = new SigningRunner(id, behave);
    await runner.listen(0);
    return runner;
  }

  /** Its process ends, and another one begins at its address later. */
  async crash(downMs: number): Promise<void> {
    const { address } = this;
    this.crashes += 1;
    this.server?.closeAllConnections();
    this.server?.close();
    await sleepMs(downMs);
    if (!this.isOver) await this.listen(Number(address.split(":").at(-1)));
  }

  /** host:port */
  get address(): string {
    return this.listening?.address ?? "";
  }

  set behaviour(behave: Behaviour) {
    this.behave = behave;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isOver = true;
    await this.listening?.[Symbol.asyncDispose]();
  }

  private async listen(port: number): Promise<void> {
    const server = createServer((request, response) => {
      void this.answer(request, response);
    });
    this.server = server;
    this.listening = await listen(server, { host: "127.0.0.1", port });
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const expected = request.headers[headerNames.expectedRunner];
    if (expected !== undefined && expected !== this.id) {
      this.misdirected += 1;
      response.writeHead(MISDIRECTED).end();
      return;
    }
    const arrival = await readArrival(request);
    response.once("close", () => {
      arrival.isAbandoned = !response.writableFinished;
    });
    this.arrivals.push(arrival);
    const attempt = String(request.headers[headerNames.attemptId]);
    const signed = {
      [headerNames.attemptId]: attempt,
      [headerNames.signature]: `${this.id}.${attempt}`,
    };
    await this.behave({ arrival, request, response, signed });
  }
}

/** A whole answer. */
export function answerWith(body: string, status = 200): Behaviour {
  return ({ response, signed }) => {
    response.writeHead(status, signed).end(body);
  };
}

/** How the connection of an answer that was written by hand goes on. */
export type RawEnd = "end" | "reset" | "open";

/** Between the bytes of an answer and the reset of its connection, ms. */
const RESET_AFTER_MS = 20;

/**
 * A success as bytes: `head` holds whole header lines, and nothing marks the
 * body's end unless they do.
 */
export function answerRaw(
  head: string,
  body: string,
  end: RawEnd = "open",
): (exchange: Pick<Exchange, "request" | "signed">) => void {
  return ({ request: { socket }, signed }) => {
    const lines = Object.entries(signed).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}${head}\r\n${body}`);
    if (end === "end") socket.end();
    if (end !== "reset") return;
    setTimeout(() => {
      socket.resetAndDestroy();
    }, RESET_AFTER_MS);
  };
}

/** A success without length or chunks, which ends with its connection. */
export function answerUntilClose(body: string): Behaviour {
  return answerRaw("", body, "end");
}

/** Says that it is full; nothing was run. */
export const refuseAsFull: Behaviour = ({ response }) => {
  response.writeHead(503, { [headerNames.notRun]: "1" }).end();
};

/** Takes the request and resets the connection. */
export const resetUnanswered: Behaviour = ({ request }) => {
  request.socket.resetAndDestroy();
};

/** Never answers. */
export const staySilent: Behaviour = () => undefined;

/**
 * A stream of events numbered on from the last one that the caller has. With
 * `breakAfter`, the connection is reset inside the event after that one.
 */
export function streamEvents(total: number, breakAfter?: number): Behaviour {
  return async ({ request, response, signed }) => {
    const after = Number(request.headers[headerNames.lastEventId] ?? 0);
    response.writeHead(200, {
      ...signed,
      "content-type": "text/event-stream",
    });
    for (let id = after + 1; id <= total; id += 1) {
      if (breakAfter !== undefined && id > breakAfter) {
        response.write(`id: ${id}\ndata: ha`);
        await sleepMs(5);
        request.socket.resetAndDestroy();
        return;
      }
      response.write(eventOf(id));
      await sleepMs(1);
    }
    response.end();
  };
}

export function eventOf(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

async function readArrival(request: IncomingMessage): Promise<Arrival> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return {
    method: request.method ?? "",
    target: request.url ?? "",
    headers: request.headers,
    body: Buffer.concat(parts).toString(),
    isAbandoned: false,
  };
}

function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
