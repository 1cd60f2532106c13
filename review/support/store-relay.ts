/**
 * A TCP relay in front of the store. While the store gives no response, the
 * relay accepts connections and delivers nothing. A connection that was open or
 * was opened then returns nothing further, also afterwards; new ones work.
 */
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { once } from "node:events";

interface Relayed {
  readonly client: Socket;
  readonly upstream: Socket;
}

export class StoreRelay implements AsyncDisposable {
  private readonly open = new Set<Relayed>();
  private readonly silent = new Set<Socket>();
  private isResponding = true;
  private readonly server = createServer((client) => {
    this.accept(client);
  });

  private constructor(private readonly target: string) {}

  static async create(target: string): Promise<StoreRelay> {
    const relay = new StoreRelay(target);
    relay.server.listen(0, "127.0.0.1");
    await once(relay.server, "listening");
    return relay;
  }

  /** host:port */
  get address(): string {
    const { port } = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** The store gives no response from now on. */
  stopResponding(): void {
    this.isResponding = false;
    this.silenceOpen();
  }

  respondAgain(): void {
    this.isResponding = true;
  }

  /** Open connections fall silent; new ones work. */
  silenceOpen(): void {
    for (const { client, upstream } of this.open) {
      client.unpipe(upstream);
      upstream.unpipe(client);
      upstream.destroy();
      this.keepSilent(client);
    }
    this.open.clear();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.silent) socket.destroy();
    for (const { client, upstream } of this.open) {
      client.destroy();
      upstream.destroy();
    }
    this.server.close();
    await once(this.server, "close");
  }

  private accept(client: Socket): void {
    client.on("error", () => undefined);
    if (!this.isResponding) {
      this.keepSilent(client);
      return;
    }
    const [host = "", port = "0"] = this.target.split(":");
    const upstream = connect(Number(port), host);
    upstream.on("error", () => undefined);
    const relayed = { client, upstream };
    this.open.add(relayed);
    client.pipe(upstream);
    upstream.pipe(client);
    const end = (): void => {
      if (!this.open.delete(relayed)) return;
      client.destroy();
      upstream.destroy();
    };
    client.once("close", end);
    upstream.once("close", end);
  }

  private keepSilent(client: Socket): void {
    this.silent.add(client);
    client.resume();
    client.once("close", () => this.silent.delete(client));
  }
}
