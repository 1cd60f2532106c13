/** A UDP socket for load datagrams; failures are logged and nothing throws. */
import { createSocket, type Socket } from "node:dgram";
import { isIPv4 } from "node:net";
import { hostPortOf } from "../direct/settings.js";
import type { Emit } from "../internal.js";

export interface DatagramSocketOptions {
  /** host:port to bind to; port 0 lets the system choose one. */
  readonly address: string;
  readonly emit: Emit;
  /** `from`: host:port of the sender. */
  readonly onDatagram: (datagram: Buffer, from: string) => void;
}

/** Further failures aren't logged. */
const MAXIMUM_LOGGED_FAILURES = 32;
/** The system chooses the port. */
const ANY_PORT = 0;
const MAXIMUM_PORT = 65_535;

export class DatagramSocket implements AsyncDisposable {
  private readonly socket: Socket = createSocket("udp4");
  private readonly loggedFailures = new Set<string>();
  private isBound = false;
  private isClosed = false;

  private constructor(private readonly options: DatagramSocketOptions) {
    this.socket.on("error", (error) => {
      this.reportFailure(error);
    });
    this.socket.on("message", (datagram, { address, port }) => {
      options.onDatagram(datagram, `${address}:${port}`);
    });
  }

  /**
   * Resolves also if the address can't be bound; the socket then does nothing.
   */
  static async create(options: DatagramSocketOptions): Promise<DatagramSocket> {
    const socket = new DatagramSocket(options);
    await socket.bind();
    return socket;
  }

  /** host:port; undefined if the address couldn't be bound. */
  get address(): string | undefined {
    if (!this.isBound || this.isClosed) return undefined;
    const { address, port } = this.socket.address();
    return `${address}:${port}`;
  }

  /** `to`: host:port. */
  send(datagram: Buffer, to: string): void {
    if (!this.isBound || this.isClosed) return;
    const { host, port } = hostPortOf(to);
    // A name would be looked up for each datagram.
    if (!isIPv4(host)) {
      this.reportFailure(new Error(`${to} isn't an IPv4 address`));
      return;
    }
    // Senders can forge a port of 0, which `send` would throw for.
    if (!isUsablePort(port)) {
      this.reportFailure(new Error(`${to} has no usable port`));
      return;
    }
    this.socket.send(datagram, port, host, (error) => {
      if (error !== null) this.reportFailure(error);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    await new Promise<void>((resolve) => {
      this.socket.close(resolve);
    });
  }

  private async bind(): Promise<void> {
    const { host, port } = hostPortOf(this.options.address);
    // The system would bind to another port instead.
    if (port !== ANY_PORT && !isUsablePort(port)) {
      this.reportFailure(new Error(`${this.options.address} has no such port`));
      return;
    }
    await new Promise<void>((resolve) => {
      this.socket.once("error", () => {
        resolve();
      });
      this.socket.bind(port, host, () => {
        this.isBound = true;
        resolve();
      });
    });
  }

  private reportFailure({ message: reason }: Error): void {
    if (this.loggedFailures.has(reason)) return;
    if (this.loggedFailures.size >= MAXIMUM_LOGGED_FAILURES) return;
    this.loggedFailures.add(reason);
    this.options.emit(250, { reason });
  }
}

function isUsablePort(port: number): boolean {
  return port >= 1 && port <= MAXIMUM_PORT;
}
