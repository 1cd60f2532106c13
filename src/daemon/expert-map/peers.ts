/** gRPC clients for the agents of the group's other members. */
import { Metadata } from "@grpc/grpc-js";
import {
  toFailure,
  type GroupMember,
  type MapMessage,
} from "../../internal.js";
import {
  ExpertMapsClient,
  type DescribeReply,
} from "../../wire/generated/expertmap.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { channelOptions, clientCredentials } from "../transport.js";
import { toBody } from "./wire.js";

/**
 * Messages are repeated until they have taken effect, so any one may be lost.
 */
const DELIVERY_TIMEOUT_MS = 1_000;

interface Peer {
  readonly address: string;
  readonly client: ExpertMapsClient;
}

export class MapPeers implements Disposable {
  private readonly peers = new Map<string, Peer>();

  private constructor(
    private readonly context: ProcessContext,
    private readonly transport: TransportSettings,
  ) {}

  static create(
    context: ProcessContext,
    transport: TransportSettings,
  ): MapPeers {
    return new MapPeers(context, transport);
  }

  /** Keeps clients for exactly these members, given as names to host:port. */
  setAddresses(addresses: ReadonlyMap<string, string>): void {
    for (const [name, peer] of this.peers) {
      if (addresses.get(name) === peer.address) continue;
      peer.client.close();
      this.peers.delete(name);
    }
    for (const [name, address] of addresses) {
      if (this.peers.has(name)) continue;
      const credentials = clientCredentials(this.transport, address);
      const client = new ExpertMapsClient(address, credentials, channelOptions);
      this.peers.set(name, { address, client });
    }
  }

  /** host:port of a member; undefined when it isn't listed. */
  addressOf(name: string): string | undefined {
    return this.peers.get(name)?.address;
  }

  /** Drops a message that can't be delivered, without an error. */
  send(to: string, message: MapMessage): void {
    const peer = this.peers.get(to);
    if (peer === undefined) return;
    const clock = this.context.clock.read();
    const envelope = { clock, from: this.context.name, body: toBody(message) };
    const options = { deadline: Date.now() + DELIVERY_TIMEOUT_MS };
    peer.client.deliver(envelope, new Metadata(), options, (_error, reply) => {
      // Undefined on an error, which the library's types omit.
      const received = reply as typeof reply | undefined;
      if (received !== undefined) this.context.clock.observe(received.clock);
    });
  }

  /** Queries the ranks that a member hosts. Throws 2001. */
  async describe(name: string): Promise<GroupMember> {
    const peer = this.peers.get(name);
    const clock = this.context.clock.read();
    const options = { deadline: Date.now() + DELIVERY_TIMEOUT_MS };
    try {
      const reply = await new Promise<DescribeReply>((resolve, reject) => {
        if (peer === undefined) {
          reject(new TypeError(`no address is known for group member ${name}`));
          return;
        }
        const settle = (error: Error | null, value: DescribeReply): void => {
          if (error === null) resolve(value);
          else reject(error);
        };
        peer.client.describe({ clock }, new Metadata(), options, settle);
      });
      this.context.clock.observe(reply.clock);
      return { member: name, ranks: reply.ranks };
    } catch (error) {
      throw toFailure(error, 2001);
    }
  }

  [Symbol.dispose](): void {
    for (const { client } of this.peers.values()) client.close();
    this.peers.clear();
  }
}
