/**
 * The one table of numbered events. docs/EVENTS.md is made from it, and the
 * time line of the command-line tool shows them over all processes.
 */

export type EventLevel = "debug" | "info" | "warn" | "error";

export interface EventEntry {
  readonly name: string;
  readonly level: EventLevel;
  readonly meaning: string;
  /** Field name to meaning (with unit). */
  readonly fields: Readonly<Record<string, string>>;
}

const entry = (
  name: string,
  level: EventLevel,
  meaning: string,
  fields: Readonly<Record<string, string>> = {},
): EventEntry => ({ name, level, meaning, fields });

export const eventTable = {
  // 100: process
  101: entry("process-started", "info", "The daemon accepts work.", {
    role: "entry or agent",
    incarnation: "new for every start",
    release: "release of the program",
  }),
  102: entry("process-leaving", "info", "The daemon takes no new work.", {
    graceMs: "longest wait for running work, ms",
  }),
  103: entry("process-stopped", "info", "The daemon ends.", {
    cutRequests: "requests that were cut by the stop",
  }),
  104: entry("invariant-violated", "error", "An internal rule was broken.", {
    rule: "name of the rule",
    detail: "what was seen",
  }),
  105: entry("task-failed", "error", "A background task failed; it restarts.", {
    task: "name of the task",
    error: "error number",
    reason: "text of the failure",
  }),

  // 110: configuration
  111: entry("configuration-accepted", "info", "A version is in force here.", {
    version: "offset in the log",
    hash: "content hash",
    source: "log, peer or checkpoint",
  }),
  112: entry("configuration-rejected", "warn", "A publication was refused.", {
    offset: "offset in the log",
    error: "error number",
    reason: "reason for the operator",
  }),

  // 120: requests
  121: entry("request-accepted", "info", "An entry took a caller's request.", {
    request: "request id",
    account: "client account",
    profile: "profile",
  }),
  122: entry("attempt-dispatched", "info", "An attempt went to an agent.", {
    request: "request id",
    attempt: "attempt id",
    runner: "backend server",
  }),
  123: entry("attempt-started", "info", "The agent started an attempt.", {
    request: "request id",
    attempt: "attempt id",
  }),
  124: entry("request-finished", "info", "A request got its final outcome.", {
    request: "request id",
    outcome: "answered, not-run, unknown or broken-off",
    error: "error number, 0 when answered",
    pieces: "pieces sent to the caller",
    durationMs: "time since acceptance, ms",
  }),
  125: entry("frame-dropped", "warn", "A late or crossed frame was dropped.", {
    attempt: "attempt id",
    reason: "why it was dropped",
    count: "frames dropped for this reason since the start",
  }),
  126: entry("attempt-resumed", "info", "An answer goes on after a loss.", {
    request: "request id",
    attempt: "attempt id",
    runner: "backend server",
    fromIndex: "first piece still wanted",
  }),
  127: entry("request-placed-again", "info", "A request looks for a runner.", {
    request: "request id",
    reason: "proof that it was not run, or repeatable",
    error: "error number of the attempt before",
  }),

  // 130: claims

  // 140: sessions
  141: entry("session-opened", "info", "A session to an agent is live.", {
    runner: "backend server",
    session: "session number",
  }),
  142: entry("session-lost", "warn", "A session ended unexpectedly.", {
    runner: "backend server",
    session: "session number",
    reason: "why",
  }),
  143: entry("session-closed", "info", "An agent proved a session closed.", {
    runner: "backend server",
    session: "session number",
    started: "attempts of it that had started",
  }),

  144: entry("session-unproved", "warn", "A lost session stays unproved.", {
    runner: "backend server",
    session: "session number",
    requests: "requests whose outcome hangs on it",
  }),
  145: entry("agent-leaving", "info", "An agent takes no new work.", {
    runner: "backend server",
    source: "notice, list or refusal",
  }),
  146: entry("agent-drained", "info", "A leaving agent has no work left.", {
    runner: "backend server",
    cutRuns: "runs that outlasted the grace period",
  }),
  147: entry("session-rejected", "warn", "An agent rejected a session.", {
    entry: "entry",
    session: "session number",
    reason: "why",
  }),

  // 150: admission and placement

  // 160: expert map

  // 170: orders and fencing

  // 180: expert balance

  // 190: platform services
  191: entry("log-outage", "warn", "The log service doesn't answer.", {
    stream: "stream of the log",
    reason: "failure seen",
  }),
  192: entry("log-restored", "info", "The log service answers again.", {
    stream: "stream of the log",
    outageMs: "length of the outage, ms",
  }),
} as const satisfies Readonly<Record<number, EventEntry>>;

export type EventNumber = keyof typeof eventTable;

export type EventFields = Readonly<
  Record<string, string | number | boolean | null>
>;

/** Takes an event; decision code gets it as an argument. */
export type Emit = (number: EventNumber, fields?: EventFields) => void;

export const ignoreEvents: Emit = () => undefined;
