/**
 * Converts between the types of this module and the messages between agents.
 */
import { compareIncarnations } from "../membership/incarnation.js";
import type {
  ObserveReply,
  RankOrderReply,
  RankOrderRequest,
} from "../wire/generated/rankmaps.js";
import { packChanges, unpackChanges } from "./map-changes.js";
import type { AgentResult, ChangeOrder } from "./map-sender.js";
import { packCounts, unpackCounts } from "./packed-counts.js";
import type {
  AgentOrder,
  HeldExperts,
  MapSets,
  Observation,
  OrderFence,
  OrderOutcome,
  OrderResult,
  RankExperts,
  RankState,
} from "./types.js";

/**
 * The experts that belong to the state. A rank may restart between the two
 * responses, and the two incarnations' maps differ.
 */
export function expertsOfSameIncarnation(
  state: RankState,
  held: HeldExperts | undefined,
): RankExperts {
  if (held === undefined) return [];
  const order = compareIncarnations(state.startedAtMs, held.startedAtMs);
  return order === "same" ? held.experts : [];
}

const NO_PACKED_COUNTS = { packedCounts: Buffer.alloc(0), countUnit: 0 };

/** `packsCounts`: the caller reads packed counts. */
export function writeObservation(
  observation: Observation,
  packsCounts: boolean,
): ObserveReply {
  const { state, counts, countedMs, experts, knownMap } = observation;
  return {
    ...state,
    counts: packsCounts ? [] : counts,
    ...(packsCounts ? packCounts(counts) : NO_PACKED_COUNTS),
    countedMs,
    experts: experts.map((set) => ({ experts: set })),
    knownMap,
  };
}

export function readObservation(reply: ObserveReply): Observation {
  const { counts, countedMs, experts, knownMap, ...rest } = reply;
  const { packedCounts, countUnit, ...state } = rest;
  const packed = { packedCounts, countUnit };
  return {
    state: {
      ...state,
      startedAtMs: state.startedAtMs,
      preparedVersion: state.preparedVersion,
      armed: state.armed,
      heldStep: state.heldStep,
      running: state.running,
      waiting: state.waiting,
    },
    counts: counts.length > 0 ? counts : unpackCounts(packed),
    countedMs,
    experts: experts.map((set) => set.experts),
    knownMap,
  };
}

export function writeOrder(
  order: AgentOrder | ChangeOrder,
  fence: OrderFence,
  members: readonly string[],
): RankOrderRequest {
  return { ...fence, order: orderMessage(order), members };
}

/** Undefined for an order that this release doesn't know. */
export function readOrder(
  request: RankOrderRequest,
): AgentOrder | ChangeOrder | undefined {
  const { order } = request;
  switch (order?.$case) {
    case "prepare": {
      const { version, sets } = order.value;
      return { kind: "prepare", version, sets: sets.map(readSet) };
    }
    case "change":
      return {
        kind: "change",
        ...order.value,
        changes: unpackChanges(order.value.changes),
      };
    case "arm":
      return { kind: "arm", ...order.value };
    case "disarm":
      return { kind: "disarm", version: order.value };
    case "release":
      return { kind: "release", step: order.value };
    case undefined:
      return undefined;
  }
}

export function writeResult(result: OrderResult): RankOrderReply {
  return {
    isAccepted: result.kind === "accepted",
    isFenced: result.kind === "fenced",
    status: result.kind === "refused" ? result.status : 0,
    isDone: result.kind === "accepted" && result.isDone,
    startedAtMs: result.startedAtMs,
    isBaseUnknown: false,
  };
}

export function readResult(reply: RankOrderReply): AgentResult {
  if (reply.isBaseUnknown) return { kind: "base-unknown" };
  return { ...outcomeOf(reply), startedAtMs: reply.startedAtMs };
}

function outcomeOf(reply: RankOrderReply): OrderOutcome {
  const { isAccepted, isFenced, isDone, status } = reply;
  if (isAccepted) return { kind: "accepted", isDone };
  return isFenced ? { kind: "fenced" } : { kind: "refused", status };
}

function orderMessage(
  order: AgentOrder | ChangeOrder,
): RankOrderRequest["order"] {
  switch (order.kind) {
    case "prepare": {
      const { version } = order;
      const sets = order.sets.map(writeSet);
      return { $case: "prepare", value: { version, sets } };
    }
    case "change": {
      const { version, baseVersion } = order;
      const changes = packChanges(order.changes);
      const digest = Buffer.from(order.digest);
      const value = { version, baseVersion, changes, digest };
      return { $case: "change", value };
    }
    case "arm": {
      const { version, step } = order;
      return { $case: "arm", value: { version, step } };
    }
    case "disarm":
      return { $case: "disarm", value: order.version };
    case "release":
      return { $case: "release", value: order.step };
  }
}

type SetMessage = Extract<
  NonNullable<RankOrderRequest["order"]>,
  { readonly $case: "prepare" }
>["value"]["sets"][number];

function writeSet(ranks: MapSets[number]): SetMessage {
  return { ranks: ranks.map((experts) => ({ experts })) };
}

function readSet({ ranks }: SetMessage): MapSets[number] {
  return ranks.map(({ experts }) => experts);
}
