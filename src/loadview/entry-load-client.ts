/** Runs an entry's view of load over a UDP socket. */
import { randomBytes } from "node:crypto";
import { DatagramFindings } from "./datagram-findings.js";
import { DatagramSocket } from "./datagram-socket.js";
import { EntryLoadView, type EntryLoadViewOptions } from "./entry-load-view.js";
import { ACTIVE_INTERVAL_MS } from "./intervals.js";
import type { GroupLoad } from "./types.js";

export interface EntryLoadClientOptions extends Omit<
  EntryLoadViewOptions,
  "findings" | "incarnation" | "send"
> {
  /** host:port of the socket. */
  readonly address: string;
}

const INCARNATION_BYTES = 6;

export class EntryLoadClient implements AsyncDisposable {
  private readonly view: EntryLoadView;
  private socket: DatagramSocket | undefined;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: EntryLoadClientOptions) {
    this.view = EntryLoadView.create({
      ...options,
      findings: DatagramFindings.create(options),
      incarnation: randomBytes(INCARNATION_BYTES).readUIntBE(
        0,
        INCARNATION_BYTES,
      ),
      send: (datagram, planner) => {
        this.socket?.send(datagram, planner);
      },
    });
  }

  static async create(
    options: EntryLoadClientOptions,
  ): Promise<EntryLoadClient> {
    const client = new EntryLoadClient(options);
    await client.start();
    return client;
  }

  read(group: string): GroupLoad | undefined {
    return this.view.read(group);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    await this.socket?.[Symbol.asyncDispose]();
    this.socket = undefined;
  }

  private async start(): Promise<void> {
    const { address, emit } = this.options;
    this.socket = await DatagramSocket.create({
      address,
      emit,
      onDatagram: (datagram, from) => {
        this.view.receive(datagram, from);
      },
    });
    // Without a socket there is no view and nothing to send.
    if (this.socket.address === undefined) return;
    // Entries that start together don't send at the same moments.
    this.pollAfter(this.options.random() * ACTIVE_INTERVAL_MS);
  }

  private pollAfter(waitMs: number): void {
    this.timer = setTimeout(() => {
      this.pollAfter(this.view.poll());
    }, waitMs);
  }
}
