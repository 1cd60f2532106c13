/** This agent's connections to the ranks of its group, by runner. */
import { hostPortOf } from "../direct/settings.js";
import type { Now } from "../internal.js";
import { RankClient } from "./rank-client.js";
import {
  createReachableRank,
  type ReachableRankOptions,
} from "./reachable-rank.js";
import type { GroupRank, RankPort } from "./types.js";

export interface RankConnectionsOptions extends Pick<
  ReachableRankOptions,
  "members" | "maps" | "window"
> {
  readonly now: Now;
  /** Address of this agent; the others use the same port on their VMs. */
  readonly peers: string;
  /** Connects to the runner at host:port. */
  readonly connectRunner: (address: string) => RankPort;
}

/** Traffic between agents stays within the users' own network. */
export const PLAIN_TRANSPORT = { allowPlaintext: true } as const;

export class RankConnections implements Disposable {
  private readonly clients = new Map<string, RankClient>();
  private readonly ranks = new Map<string, GroupRank>();

  private constructor(private readonly options: RankConnectionsOptions) {}

  static create(options: RankConnectionsOptions): RankConnections {
    return new RankConnections(options);
  }

  /** `address`: host:port of the runner; its agent is on the same VM. */
  at(address: string): GroupRank {
    const known = this.ranks.get(address);
    if (known !== undefined) return known;
    const { connectRunner, ...options } = this.options;
    const rank = createReachableRank({
      ...options,
      address,
      agent: this.clientOf(this.agentAddressOf(address)),
      runner: connectRunner(address),
    });
    this.ranks.set(address, rank);
    return rank;
  }

  forget(address: string): void {
    this.ranks.delete(address);
    const agent = this.agentAddressOf(address);
    this.clients.get(agent)?.[Symbol.dispose]();
    this.clients.delete(agent);
  }

  [Symbol.dispose](): void {
    for (const client of this.clients.values()) client[Symbol.dispose]();
  }

  private agentAddressOf(address: string): string {
    const { host } = hostPortOf(address);
    const { port } = hostPortOf(this.options.peers);
    return `${host}:${port}`;
  }

  private clientOf(address: string): RankClient {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = RankClient.create(address, PLAIN_TRANSPORT);
    this.clients.set(address, client);
    return client;
  }
}
