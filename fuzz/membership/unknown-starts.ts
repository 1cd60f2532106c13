/** Invariants for registrations without start times. */
import type {
  DirectorySimulation,
  RegisterEvent,
} from "./directory-simulation.js";

export function unknownStartViolations(
  { events, active, replacements, nowMs, readableFrom }: DirectorySimulation,
  id: string,
): readonly string[] {
  if (replacements.length > 0)
    return ["a server was replaced without a known start time"];
  const own = events.filter((event) => idOf(event) === id);
  const newest = own.at(-1);
  const isActive = active.has(id);
  if (newest === undefined) {
    return isActive ? [`${id} is active without a registration`] : [];
  }
  if (newest.kind === "removed") {
    const isOver = readableFrom(newest.outageGraceEndsMs) <= nowMs;
    return isActive && isOver ? [`${id} is active though it was removed`] : [];
  }
  const since = own.slice(own.findLastIndex(isRemoval) + 1);
  const registrations = since.flatMap((event) =>
    event.kind === "registered" ? [event.server] : [],
  );
  const hasLeft = registrations.some(({ isLeaving }, index) => {
    const earlier = registrations.slice(0, index);
    const { heartbeat } = registrations[index];
    return isLeaving && earlier.every((item) => item.heartbeat <= heartbeat);
  });
  // An outage may have kept a record with a higher heartbeat, so that a lower
  // one is ignored although a removal came between; the server stays active.
  if (hasLeft && since.length === own.length && isActive) {
    return [`${id} is active though it left`];
  }
  const noneLeaving = registrations.every(({ isLeaving }) => !isLeaving);
  return noneLeaving && since.length === own.length && !isActive
    ? [`${id} has registered and isn't active`]
    : [];
}

function isRemoval(event: RegisterEvent): boolean {
  return event.kind === "removed";
}

function idOf(event: RegisterEvent): string {
  return event.kind === "removed" ? event.id : event.server.id;
}
