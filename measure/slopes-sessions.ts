/** The entry's session machine at several numbers of agents. */
import {
  createRandom,
  EntrySessions,
  ignoreEvents,
  SESSION_LIMITS,
} from "../src/internal.js";

/** Any time will do, as long as it rises. */
const START_MS = 1_700_000_000_000;

/**
 * The entry's session machine over one heartbeat period: each agent is heard
 * and gets a heartbeat. No codec and no socket.
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
    throw new TypeError("session not opened");
  }
}
