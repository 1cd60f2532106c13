/** Runs the planner's side of the view of load over a UDP socket. */
import { DatagramFindings } from "./datagram-findings.js";
import { DatagramSocket } from "./datagram-socket.js";
import { LoadHub, type LoadHubOptions } from "./load-hub.js";
import type { RunnerLoad } from "./types.js";

export interface LoadHubServerOptions extends Omit<LoadHubOptions, "findings"> {
  /** host:port of the socket. */
  readonly address: string;
}

export class LoadHubServer implements AsyncDisposable {
  private constructor(
    private readonly hub: LoadHub,
    private readonly socket: DatagramSocket,
  ) {}

  static async create(options: LoadHubServerOptions): Promise<LoadHubServer> {
    const { address, emit, measurements } = options;
    const findings = DatagramFindings.create(options);
    const hub = LoadHub.create({ ...options, findings });
    const socket: DatagramSocket = await DatagramSocket.create({
      address,
      emit,
      onDatagram: (datagram, from) => {
        const host = from.slice(0, from.lastIndexOf(":"));
        const answer = hub.receive(datagram, host);
        if (answer === undefined) return;
        socket.send(answer, from);
        measurements.count("loadDatagrams", { result: "sent" });
      },
    });
    return new LoadHubServer(hub, socket);
  }

  /** host:port; undefined if the address couldn't be bound. */
  get address(): string | undefined {
    return this.socket.address;
  }

  /** Call when this process plans for the group. */
  begin(group: string): void {
    this.hub.begin(group);
  }

  end(): void {
    this.hub.end();
  }

  observe(runners: readonly RunnerLoad[]): void {
    this.hub.observe(runners);
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.socket[Symbol.asyncDispose]();
  }
}
