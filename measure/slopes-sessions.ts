/** Workload for the entry's session state machine. */
import {
  createRandom,
  EntrySessions,
  ignoreEvents,
  SESSION_LIMITS,
} from "../src/internal.js";

/** Arbitrary start time; only the differences matter. */
const START_MS = 1_700_000_000_000;

/**
 * One heartbeat period of the entry's session state machine: a heartbeat
 * arrives from each agent and one is sent to each. Excludes codec and sockets.
 */
export function sessionRound(agents: number): () => void {
  let now = START_MS;
  const sessions = EntrySessions.create({
    entry: "entry-17",
    incarnation: "incarnation",
    dataCentre: "centre-0",
    release: "0",
    perform: () => undefined,
    mayRetry: () => false,
    createAttemptId: () => "attempt",
    random: createRandom(1),
    emit: ignoreEvents,
  });
  for (let index = 0; index < agents; index++) {
    openSession(sessions, `backend-${index}`, now);
  }
  const heartbeat = { kind: "heartbeat" as const, sequence: 1 };
  return () => {
    now += SESSION_LIMITS.heartbeatMs;
    for (let index = 0; index < agents; index++) {
      sessions.receive(`backend-${index}`, 1, heartbeat, now);
    }
    sessions.tick(now);
  };
}

function openSession(
  sessions: EntrySessions,
  runner: string,
  now: number,
): void {
  sessions.addAgent(runner, now);
  const session = {
    entry: "entry-17",
    entryIncarnation: "incarnation",
    agentIncarnation: "agent",
    number: 1,
  };
  sessions.receive(
    runner,
    1,
    { kind: "opened", session, runner, group: "group-0" },
    now,
  );
  if (!sessions.status().sessions.every(({ live }) => live)) {
    throw new TypeError("the session did not open");
  }
}
