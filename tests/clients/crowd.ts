/** Clients that open many connections and send what they want. */
import { connect, type Socket } from "node:net";
import { waitFor } from "../support/wait.js";

/** Interval at which a client looks whether its server still reads, ms. */
const PROGRESS_INTERVAL_MS = 100;
/** Intervals without progress after which a server reads no more. */
const IDLE_INTERVALS = 10;

export class Client implements Disposable {
  /** Start of what was received. */
  text = "";

  /** Settles the send that waits. */
  private settle: (isSent: boolean) => void = () => undefined;

  private constructor(readonly socket: Socket) {
    socket.on("error", () => undefined);
    socket.once("close", () => {
      this.settle(false);
    });
  }

  /** Resolves when the connection is open, refused or reset. */
  static async create(address: string): Promise<Client> {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    const client = new Client(socket);
    await new Promise((resolve) => {
      socket.once("connect", resolve);
      socket.once("close", resolve);
    });
    return client;
  }

  /** Keeps the status lines of what arrives; without it, nothing is read. */
  read(): void {
    this.socket.on("data", (data: Buffer) => {
      if (this.text.length < 100_000) this.text += data.toString("latin1");
    });
  }

  /** False once the server has closed the connection or stopped to read. */
  send(data: string | Buffer): Promise<boolean> {
    const { socket } = this;
    if (socket.destroyed) return Promise.resolve(false);
    return new Promise((resolve) => {
      let idleIntervals = 0;
      let unsentBytes = Number.POSITIVE_INFINITY;
      const timer = setInterval(() => {
        const isIdle = socket.writableLength >= unsentBytes;
        unsentBytes = socket.writableLength;
        idleIntervals = isIdle ? idleIntervals + 1 : 0;
        if (idleIntervals === IDLE_INTERVALS) this.settle(false);
      }, PROGRESS_INTERVAL_MS);
      this.settle = (isSent) => {
        clearInterval(timer);
        resolve(isSent);
      };
      socket.write(data, (error) => {
        this.settle(error === undefined || error === null);
      });
    });
  }

  [Symbol.dispose](): void {
    this.socket.destroy();
  }
}

export type ClientBehaviour = (client: Client, index: number) => Promise<void>;

/** Connections that stay open until disposal, unless their server closes them. */
export class Crowd implements Disposable {
  private constructor(readonly clients: readonly Client[]) {}

  /** Resolves when every client has done what it wanted, or no longer can. */
  static async create(
    address: string,
    size: number,
    behave: ClientBehaviour,
  ): Promise<Crowd> {
    const indexes = Array.from({ length: size }, (_, index) => index);
    const clients = await Promise.all(
      indexes.map(async (index) => {
        const client = await Client.create(address);
        await behave(client, index);
        return client;
      }),
    );
    return new Crowd(clients);
  }

  /** Each client connects when the one before it has received something. */
  static async createInTurn(
    address: string,
    size: number,
    behave: ClientBehaviour,
  ): Promise<Crowd> {
    const clients: Client[] = [];
    for (let index = 0; index < size; index += 1) {
      const client = await Client.create(address);
      clients.push(client);
      await behave(client, index);
      await waitFor(() => client.text !== "");
    }
    return new Crowd(clients);
  }

  /** Resolves when every client has received something, or at most so long. */
  async untilAnswered(): Promise<void> {
    await waitFor(() => this.clients.every(({ text }) => text !== ""));
  }

  [Symbol.dispose](): void {
    for (const client of this.clients) client[Symbol.dispose]();
  }
}
