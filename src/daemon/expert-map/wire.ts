/** Converts messages of the map switch to and from their wire format. */
import {
  unreachable,
  type ExpertMap,
  type MapMessage,
  type Proposal,
} from "../../internal.js";
import type {
  ExpertMap as WireMap,
  MapEnvelope,
  MapProposal,
} from "../../wire/generated/expertmap.js";

type Body = NonNullable<MapEnvelope["body"]>;

/** Copies a map with its slots as a plain array, for JSON and protobuf. */
export function plainMap({ version, shape, slots }: ExpertMap): ExpertMap & {
  readonly slots: number[];
} {
  return { version, shape, slots: Array.from(slots) };
}

export function toBody(message: MapMessage): Body {
  switch (message.kind) {
    case "stage": {
      const { group, version, map } = message;
      const value = { group, version, map: plainMap(map) };
      return { $case: "stage", value };
    }
    case "staged":
      return { $case: "staged", value: message };
    case "votes": {
      const { proposal, votes, wanted } = message;
      return { $case: "votes", value: { proposal, votes, wanted } };
    }
    case "seal":
      return { $case: "seal", value: { formation: message.formation } };
    case "sealed": {
      const { map, armedMap, armed, group, ...rest } = message;
      const value = {
        ...rest,
        group: group ?? undefined,
        armed: armed ?? undefined,
        map: map === null ? undefined : plainMap(map),
        armedMap: armedMap === null ? undefined : plainMap(armedMap),
      };
      return { $case: "sealed", value };
    }
    case "join": {
      const { formation, members, version, map } = message;
      const wireMembers = members.map(({ member, ranks }) => ({
        member,
        ranks: [...ranks],
      }));
      const value = {
        formation,
        members: wireMembers,
        version,
        map: plainMap(map),
      };
      return { $case: "join", value };
    }
    case "joined":
      return { $case: "joined", value: message.formation };
    case "unable":
      return { $case: "unable", value: message.formation };
    case "standing":
      return {
        $case: "standing",
        value: { group: message.group ?? undefined },
      };
    default:
      return unreachable(message);
  }
}

/** Undefined for a message without a required field, which is then dropped. */
export function fromBody(body: Body): MapMessage | undefined {
  switch (body.$case) {
    case "stage": {
      const { group, version, map: wireMap } = body.value;
      const map = fromMap(wireMap);
      if (group === undefined || map === undefined) return undefined;
      return { kind: "stage", group, version, map };
    }
    case "staged": {
      const { group, floor, ...rest } = body.value;
      if (group === undefined || floor === undefined) return undefined;
      return { kind: "staged", ...rest, group, floor };
    }
    case "votes": {
      const { proposal: wireProposal, votes, wanted } = body.value;
      const proposal = fromProposal(wireProposal);
      return proposal && { kind: "votes", proposal, votes, wanted };
    }
    case "seal": {
      const { formation } = body.value;
      return formation && { kind: "seal", formation };
    }
    case "sealed":
      return fromSealed(body.value);
    case "join": {
      const { formation, members, version, map: wireMap } = body.value;
      const map = fromMap(wireMap);
      if (formation === undefined || map === undefined) return undefined;
      return { kind: "join", formation, members, version, map };
    }
    case "joined":
      return { kind: "joined", formation: body.value };
    case "unable":
      return { kind: "unable", formation: body.value };
    case "standing":
      return { kind: "standing", group: body.value.group ?? null };
    default:
      return unreachable(body);
  }
}

function fromSealed(
  value: (Body & { readonly $case: "sealed" })["value"],
): MapMessage | undefined {
  const { formation, group, version, rejected } = value;
  if (formation === undefined) return undefined;
  return {
    kind: "sealed",
    formation,
    group: group ?? null,
    version,
    map: fromMap(value.map) ?? null,
    armed: fromProposal(value.armed) ?? null,
    armedMap: fromMap(value.armedMap) ?? null,
    rejected,
  };
}

function fromProposal(wire: MapProposal | undefined): Proposal | undefined {
  if (wire === undefined) return undefined;
  const { id, group, ...rest } = wire;
  if (id === undefined || group === undefined) return undefined;
  return { ...rest, id, group };
}

function fromMap(wire: WireMap | undefined): ExpertMap | undefined {
  if (wire?.shape === undefined) return undefined;
  const { version, shape, slots } = wire;
  return { version, shape, slots };
}
