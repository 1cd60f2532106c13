/** Rules that hold at any moment where no registration tells its life. */
import type { DirectoryWorld, Fact } from "./world.js";

export function untoldFaults(
  { facts, serving, ended, nowMs, readableFrom }: DirectoryWorld,
  id: string,
): readonly string[] {
  if (ended.length > 0) return ["a life ended that nobody told of"];
  const own = facts.filter((fact) => idOf(fact) === id);
  const newest = own.at(-1);
  const isServing = serving.has(id);
  if (newest === undefined) {
    return isServing ? [`${id} serves unheard of`] : [];
  }
  if (newest.kind === "removed") {
    const isOver = readableFrom(newest.outageGraceEndsMs) <= nowMs;
    return isServing && isOver ? [`${id} serves though it was removed`] : [];
  }
  const since = own.slice(own.findLastIndex(isRemoval) + 1);
  const beats = since.flatMap((fact) =>
    fact.kind === "registered" ? [fact.server] : [],
  );
  const hasLeft = beats.some(({ isLeaving }, index) => {
    const earlier = beats.slice(0, index);
    const { heartbeat } = beats[index];
    return isLeaving && earlier.every((beat) => beat.heartbeat <= heartbeat);
  });
  // An outage may have kept an older count, so that a lower one is passed over
  // though a removal came between; it serves all the same.
  if (hasLeft && since.length === own.length && isServing) {
    return [`${id} serves though it left`];
  }
  const isSound = beats.every(({ isLeaving }) => !isLeaving);
  return isSound && since.length === own.length && !isServing
    ? [`${id} has registered and doesn't serve`]
    : [];
}

function isRemoval(fact: Fact): boolean {
  return fact.kind === "removed";
}

function idOf(fact: Fact): string {
  return fact.kind === "removed" ? fact.id : fact.server.id;
}
