/** Invariants for runners that share addresses. */
import { compareIncarnations } from "../../src/membership/incarnation.js";
import type { BackendServer } from "../../src/membership/types.js";
import type {
  DirectorySimulation,
  Replacement,
  RegisterEvent,
} from "./directory-simulation.js";

export function sharedAddressViolations(
  simulation: DirectorySimulation,
): readonly string[] {
  const active = [...simulation.active.values()];
  return [
    ...duplicateAddresses(active),
    ...active.flatMap((server) =>
      outdatedIncarnations(server, simulation.events),
    ),
    ...simulation.replacements.flatMap(invalidReplacements),
    ...newestEventViolations(simulation),
    ...displacedHolders(simulation),
  ];
}

function duplicateAddresses(active: readonly BackendServer[]): string[] {
  const addresses = new Set(active.map(({ address }) => address));
  return addresses.size < active.length
    ? ["two active servers share an address"]
    : [];
}

function outdatedIncarnations(
  server: BackendServer,
  events: readonly RegisterEvent[],
): string[] {
  const newest = newestStart(server.id, events);
  return server.startedAtMs === newest
    ? []
    : [`${server.id} is ${server.startedAtMs}, expected ${newest}`];
}

function invalidReplacements({ earlier, later }: Replacement): string[] {
  const order = compareIncarnations(earlier.startedAtMs, later.startedAtMs);
  const isRelated =
    earlier.id === later.id || earlier.address === later.address;
  return order === "later" && isRelated
    ? []
    : [`${earlier.id} replaced by ${later.id}, which is ${order}`];
}

/** A late record doesn't take the address of a server that started later. */
function displacedHolders({
  events,
  activeBefore: before,
  active,
}: DirectorySimulation): string[] {
  const event = events.at(-1);
  if (event?.kind !== "registered") return [];
  const { id, address, startedAtMs } = event.server;
  return before
    .filter((holder) => holder.id !== id && holder.address === address)
    .filter(
      (holder) =>
        compareIncarnations(startedAtMs, holder.startedAtMs) === "later",
    )
    .filter((holder) => !active.has(holder.id))
    .map((holder) => `${id} has taken the address of ${holder.id}`);
}

/**
 * A server that has just registered is active, with the exceptions checked
 * here.
 */
function newestEventViolations(simulation: DirectorySimulation): string[] {
  const { events, active, hasJustRegistered } = simulation;
  const event = events.at(-1);
  if (event?.kind !== "registered" || !hasJustRegistered) return [];
  const { server } = event;
  if (!isCurrent(server, events)) return [];
  if (server.isLeaving) {
    return active.has(server.id)
      ? [`${server.id} is active though it left`]
      : [];
  }
  const holder = [...active.values()].find(
    ({ address }) => address === server.address,
  );
  if (holder?.id === server.id) return [];
  const isOlder =
    holder !== undefined &&
    compareIncarnations(server.startedAtMs, holder.startedAtMs) === "later";
  return isOlder ? [] : [`${server.id} has registered and isn't active`];
}

/**
 * Whether the record is of the newest incarnation, not older than its earlier
 * records and not after its notice to leave.
 */
function isCurrent(
  server: BackendServer,
  events: readonly RegisterEvent[],
): boolean {
  if (server.startedAtMs !== newestStart(server.id, events)) return false;
  const before = events.slice(0, -1).flatMap((event) => {
    if (event.kind === "removed") return [];
    const { id, startedAtMs } = event.server;
    const isSame = id === server.id && startedAtMs === server.startedAtMs;
    return isSame ? [event.server] : [];
  });
  return before.every(
    ({ heartbeat, isLeaving }) => !isLeaving && heartbeat <= server.heartbeat,
  );
}

function newestStart(id: string, events: readonly RegisterEvent[]): number {
  const starts = events.map((event) => {
    if (event.kind === "removed" || event.server.id !== id) return 0;
    return event.server.startedAtMs ?? 0;
  });
  return Math.max(...starts);
}
