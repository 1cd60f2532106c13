/** A connection on which a test sends and reads raw bytes. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { pause } from "./wait.js";

const POLL_INTERVAL_MS = 5;

export class RawConnection implements Disposable {
  /** All that was received. */
  text = "";
  /** Whether the other side has ended its direction in order. */
  isEnded = false;
  /** Whether the connection has been closed by either side. */
  isClosed = false;

  private constructor(private readonly socket: Socket) {
    socket.on("data", (data: Buffer) => {
      this.text += data.toString("latin1");
    });
    socket.on("error", () => undefined);
    socket.once("end", () => {
      this.isEnded = true;
    });
    socket.once("close", () => {
      this.isClosed = true;
    });
  }

  /** `address`: host:port. This side stays open when the other one ends. */
  static async create(address: string): Promise<RawConnection> {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    socket.setNoDelay(true);
    const connection = new RawConnection(socket);
    await once(socket, "connect");
    return connection;
  }

  /** Status codes of the responses that have begun. */
  get statuses(): readonly number[] {
    const lines = this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g);
    return [...lines].map(([, status]) => Number(status));
  }

  /** Bytes sent after the other side has closed the connection are dropped. */
  send(text: string): void {
    if (!this.socket.destroyed) this.socket.write(text, () => undefined);
  }

  /** Reads nothing until `resume`. */
  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Resolves with false if the condition isn't met within the time. */
  async until(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    const deadlineAtMs = performance.now() + timeoutMs;
    while (!condition()) {
      if (performance.now() > deadlineAtMs) return false;
      await pause(POLL_INTERVAL_MS);
    }
    return true;
  }

  [Symbol.dispose](): void {
    this.socket.destroy();
  }
}
