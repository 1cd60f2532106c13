/**
 * Sends prepare orders to the agent of one rank: as the changes to a map that
 * the agent knows, or else as the whole map.
 */
import { changeBetween, type MapChange } from "./map-changes.js";
import type { RelayedMaps } from "./relayed-maps.js";
import type { SendWindow } from "./send-window.js";
import type { AgentOrder, MapSets, OrderFence, OrderResult } from "./types.js";

export type PrepareOrder = Extract<AgentOrder, { readonly kind: "prepare" }>;
/** Sent only to agents that report the base as a map that they know. */
export type ChangeOrder = MapChange & { readonly kind: "change" };

/** `base-unknown`: nothing was ordered. */
export type AgentResult = OrderResult | { readonly kind: "base-unknown" };

export interface MapSenderOptions {
  readonly order: (
    order: AgentOrder | ChangeOrder,
    fence: OrderFence,
    members: readonly string[],
  ) => Promise<AgentResult>;
  /** host:port of all runners of the group. */
  readonly members: () => readonly string[];
  /** Maps that this process knows; shared by its ranks. */
  readonly maps: RelayedMaps;
  /** Shared by all ranks of the process. */
  readonly window: SendWindow;
}

/** Of one number in a message: expert, set, rank or length. */
const BYTES_PER_NUMBER = 2;
/** Fields of an order other than the map and the members. */
const ORDER_BYTES = 80;

export class MapSender {
  private knownMap: number | undefined;
  /** Epoch and members that the agent has accepted last. */
  private announced = "";

  private constructor(private readonly options: MapSenderOptions) {}

  static create(options: MapSenderOptions): MapSender {
    return new MapSender(options);
  }

  /** `knownMap`: version of a map that the agent can apply changes to. */
  onObserved(knownMap: number | undefined): void {
    // The agent has restarted, and knows no members either.
    if (knownMap === undefined) this.announced = "";
    this.knownMap = knownMap;
  }

  /** Throws 1607. */
  async prepare(order: PrepareOrder, fence: OrderFence): Promise<OrderResult> {
    const { maps } = this.options;
    maps.record(order);
    const base =
      this.knownMap === undefined ? undefined : maps.find(this.knownMap);
    const change = base === undefined ? undefined : changeBetween(base, order);
    if (change !== undefined) {
      const bytes = bytesOfChange(change);
      const result = await this.send(
        { kind: "change", ...change },
        fence,
        bytes,
      );
      if (result.kind !== "base-unknown") return result;
    }
    this.announced = "";
    const result = await this.send(order, fence, bytesOfMap(order.sets));
    // Only a change needs a base.
    if (result.kind === "base-unknown")
      return { kind: "refused", status: 0, startedAtMs: undefined };
    return result;
  }

  private async send(
    order: PrepareOrder | ChangeOrder,
    fence: OrderFence,
    mapBytes: number,
  ): Promise<AgentResult> {
    const members = this.options.members();
    const announcement = `${fence.epoch} ${members.join(" ")}`;
    const isKnown = announcement === this.announced;
    const bytes = ORDER_BYTES + mapBytes + (isKnown ? 0 : announcement.length);
    const result = await this.options.window.send(bytes, () =>
      this.options.order(order, fence, isKnown ? [] : members),
    );
    if (result.kind === "accepted") this.announced = announcement;
    return result;
  }
}

/** Approximate size of a whole map in a message, bytes. */
export function bytesOfMap(sets: MapSets): number {
  let numbers = 0;
  for (const ranks of sets) {
    for (const experts of ranks) numbers += experts.length + 2;
  }
  return numbers * BYTES_PER_NUMBER;
}

/** Approximate size of changes in a message, bytes. */
function bytesOfChange({ changes }: MapChange): number {
  let numbers = 0;
  for (const { experts } of changes) numbers += experts.length + 3;
  return numbers * BYTES_PER_NUMBER;
}
