/**
 * Table of all numbered events. docs/EVENTS.md is generated from it, and the
 * command-line tool's timeline shows the events of all processes.
 */

export type EventLevel = "debug" | "info" | "warn" | "error";

export interface EventEntry {
  readonly name: string;
  readonly level: EventLevel;
  readonly meaning: string;
  /** Meaning and unit of each field. */
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
    cutRequests: "number of requests that the stop cut off",
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
  106: entry("lines-left-out", "warn", "Lines were not written.", {
    event: "event number, null if not of a single event",
    lines: "number of lines left out",
    reason: "budget or reader stalled",
  }),

  // 110: configuration
  111: entry("configuration-accepted", "info", "A version is in force here.", {
    version: "offset in the log",
    hash: "content hash",
    source: "log or peer",
  }),
  112: entry("configuration-rejected", "warn", "A publication was refused.", {
    offset: "offset in the log",
    error: "error number",
    reason: "reason for the operator",
  }),
  113: entry(
    "configuration-not-understood",
    "warn",
    "A publication of a newer release was kept; the older content stays.",
    {
      offset: "offset in the log",
      formatVersion: "format of the publication",
    },
  ),
  114: entry(
    "configuration-undecided",
    "warn",
    "Earlier records are lost; a checkpoint, snapshot or publication without a base is awaited.",
    {
      heldFrom: "first offset that the log still holds",
      version: "version in force here, -1 when none",
    },
  ),
  115: entry(
    "checkpoint-appended",
    "info",
    "A checkpoint was appended before the log trims earlier records.",
    { asOf: "last offset that the checkpoint covers" },
  ),

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
    outcome: "answered, unmarked, not-run, unknown or broken-off",
    error: "error number, 0 when answered or unmarked",
    pieces: "pieces sent to the caller",
    durationMs: "time since acceptance, ms",
  }),
  125: entry(
    "frame-dropped",
    "warn",
    "A late, repeated or out-of-order frame was dropped.",
    {
      attempt: "attempt id",
      reason: "why it was dropped",
      count: "frames dropped for this reason since the start",
    },
  ),
  126: entry(
    "attempt-resumed",
    "info",
    "An answer resumes after an interruption.",
    {
      request: "request id",
      attempt: "attempt id",
      runner: "backend server",
      fromIndex: "first piece still wanted",
    },
  ),
  127: entry("request-placed-again", "info", "A request is placed again.", {
    request: "request id",
    reason: "not run or repeatable",
    error: "error number of the attempt before",
  }),

  // 130: claims
  131: entry("claim-won", "debug", "A call's own claim came first.", {
    call: "request id",
    attempt: "attempt id",
  }),
  132: entry(
    "claim-attached",
    "info",
    "A repeated call gets an earlier one's answer.",
    {
      call: "request id",
      attempt: "attempt that holds the claim",
    },
  ),
  133: entry(
    "abandoned-claim-landed",
    "info",
    "A claim reached the log after its call was given up; it is released.",
    { attempt: "attempt id" },
  ),
  134: entry(
    "claim-replaced",
    "info",
    "The claim of an attempt that can't start was replaced.",
    {
      attempt: "attempt id",
      proof: "tombstone, refused or not-dispatched",
    },
  ),
  135: entry("claim-given-up", "warn", "The maximum wait of a call expired.", {
    call: "request id",
    phase: "claiming, asking, pausing or closing",
  }),

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
  143: entry("session-closed", "info", "An agent confirmed a closed session.", {
    runner: "backend server",
    session: "session number",
    started: "number of its attempts that had started",
  }),

  144: entry(
    "session-unproved",
    "warn",
    "A lost session isn't confirmed as closed.",
    {
      runner: "backend server",
      session: "session number",
      requests: "number of requests whose outcome depends on it",
    },
  ),
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
  151: entry("runner-ejected", "warn", "A failing runner gets no work.", {
    runner: "backend server",
    pool: "model or plain service whose request failed last",
  }),
  152: entry("runner-recovered", "info", "An ejected runner passed probes.", {
    runner: "backend server",
  }),
  153: entry("queue-started", "info", "Requests of a pool have to wait.", {
    pool: "model or plain service",
  }),
  154: entry("queue-emptied", "info", "No request of a pool waits any more.", {
    pool: "model or plain service",
    durationMs: "time since the first one waited, ms",
    refused: "requests refused or given up meanwhile",
  }),
  155: entry("retries-exhausted", "warn", "The retry allowance is used up.", {
    pool: "model or plain service",
  }),
  156: entry("retries-restored", "info", "Successes refilled the allowance.", {
    pool: "model or plain service",
  }),

  // 160: expert map
  160: entry("map-proposal-ended", "info", "A map proposal ended.", {
    mapHash: "content hash of the map",
    end: "committed, aborted, or the error number",
    durationMs: "time since the map was proposed, ms",
  }),
  161: entry("map-vote", "info", "The vote of this member is fixed.", {
    proposal: "number and author",
    yes: "true for yes",
  }),
  162: entry("map-outcome", "info", "The outcome of a proposal is known.", {
    proposal: "number and author",
    outcome: "committed or aborted",
    version: "version that was proposed",
    step: "first step on the new map",
  }),
  163: entry("map-in-force", "info", "The engine runs on another map.", {
    group: "incarnation of the group",
    version: "version of the map",
    mapHash: "content hash of the map",
    since: "first step on it",
  }),
  164: entry("step-held", "warn", "The engine holds at an undecided step.", {
    step: "step that is held",
    heldMs: "time held so far, ms",
  }),
  165: entry(
    "weight-fetch-failed",
    "warn",
    "Fetching a part of an expert's weights failed.",
    {
      layer: "layer",
      expert: "expert",
      error: "error number",
      reason: "text of the failure",
    },
  ),
  166: entry("formation-started", "warn", "This agent re-forms the group.", {
    formation: "number and author",
    members: "number of members of the group",
  }),

  // 170: orders and fencing
  170: entry(
    "order-confirmed",
    "info",
    "The engine's state confirms the order.",
    {
      fencing: "fencing token of the order",
      kind: "kind of the order",
      value: "what was ordered",
      durationMs: "time since it was taken, ms",
    },
  ),
  171: entry(
    "order-refused",
    "warn",
    "An order was refused or not confirmed in time.",
    {
      fencing: "fencing token of the order",
      highest: "highest fencing token known; null if a rank refused the order",
      error: "error number",
    },
  ),
  172: entry(
    "order-waits",
    "info",
    "Orders wait until earlier ones can no longer take effect.",
    {
      waitMs: "time to wait, ms",
      reason: "start or lost answer",
    },
  ),
  173: entry(
    "lease-acquired",
    "info",
    "This process holds the group's planner lease.",
    {
      fencing: "fencing token",
    },
  ),
  174: entry(
    "lease-lost",
    "warn",
    "This process no longer holds the group's planner lease.",
    {
      fencing: "fencing token",
      reason: "superseded, or store restored from an older copy",
    },
  ),

  // 180: expert balance
  181: entry("experts-moved", "info", "A better expert map was planned.", {
    map: "version of the new map",
    moves: "experts to fetch",
    bytes: "bytes to fetch from the weight store",
    transferSeconds: "time of the fetch at the weight store's rate, s",
    skewBefore: "forecast of step time over even step time, old map",
    skewAfter: "forecast of step time over even step time, new map",
    savedSeconds: "step time saved over the horizon, s",
    skewWeight: "weight of skew against cost in force",
    confidence:
      "share of the recently forecast savings that was realized, 0 to 1",
  }),
  182: entry("experts-stayed", "debug", "The expert map stays as it is.", {
    map: "version of the map",
    reason:
      "no-reports, switch-pending, balanced, within-noise, no-better-map or not-worth-cost",
    skew: "forecast of step time over even step time",
    confidence:
      "share of the recently forecast savings that was realized, 0 to 1",
  }),
  183: entry("rank-slow", "warn", "A rank is slower than the others.", {
    rank: "number of the rank",
    speed: "speed over that of the median rank",
  }),
  184: entry("balance-report-gap", "debug", "Rank reports are missing.", {
    map: "version of the map that the reports were counted under",
    missing: "ranks without a usable report in the window",
  }),

  // 190: platform services
  191: entry(
    "log-outage",
    "warn",
    "The platform's log or store doesn't answer.",
    {
      stream: "stream of the log or topic of the store",
      reason: "failure seen",
    },
  ),
  192: entry(
    "log-restored",
    "info",
    "The platform's log or store answers again.",
    {
      stream: "stream of the log or topic of the store",
      outageMs: "length of the outage, ms",
    },
  ),
  193: entry("record-unusable", "warn", "A record of the store is left out.", {
    stream: "stream of the store",
    key: "the record's key, empty when it can't be read",
    reason: "what is invalid; reported once for each content",
  }),
  194: entry("records-not-taken", "error", "Applying records failed.", {
    stream: "stream of the store",
    records:
      "number of records; if more than one, each is applied again on its own",
    reason: "text of the failure",
  }),
  195: entry("log-read-anew", "info", "All newest records were read.", {
    stream: "stream of the store",
    cause:
      "start, forgotten if the history was gone, or returned if the store was restored from an older copy",
    records: "number of records",
    nextOffset: "offset from which changes are read",
    era: "era of the store, 0 if it names none",
  }),
  196: entry(
    "store-era",
    "warn",
    "The store reports a new era: its latest records may be lost.",
    { era: "era named by its answers; the first one is reported at the start" },
  ),

  // 200: direct path of an entry
  201: entry("routes-in-force", "info", "A configuration is in force here.", {
    version: "the operator's version",
    routes: "number of routes",
    accounts: "number of client accounts",
  }),
  202: entry(
    "configuration-unreadable",
    "error",
    "A configuration can't be decoded; the older one stays in force.",
    { reason: "field and what was expected" },
  ),
  203: entry("settings-reloaded", "info", "The settings file was read again.", {
    changed: "fields that differ and need a restart; empty if there are none",
  }),
  211: entry("runner-joined", "info", "A runner registered itself.", {
    runner: "id of the runner",
    service: "service that it runs",
    address: "host:port",
    startedAtMs: "start time of the runner, Unix ms; null if unknown",
  }),
  212: entry("runner-left", "info", "A runner gets no new work.", {
    runner: "id of the runner",
    reason:
      "leaving, removed, lapsed, address taken, unusable entry or started again",
  }),
  213: entry(
    "pace-limit-lowered",
    "info",
    "Streams are slow; the limit was lowered.",
    {
      group: "group, or service without groups",
      limit: "requests that this entry runs at once",
      pauseMs: "mean pause between events, ms",
    },
  ),
  214: entry("request-refused", "info", "A request ended without an answer.", {
    request: "attempt id of the caller",
    error: "error number",
    route: "route",
    retryAfterMs: "time after which the caller may retry, ms; 0 if not given",
    ageMs: "time since its arrival, ms",
  }),
  215: entry("attempt-ended", "info", "An attempt ended without an answer.", {
    request: "attempt id of the caller",
    runner: "id of the runner",
    end: "answered, not-run, unsent, broken or given-up",
    reason: "what was seen",
    next: "repeat, fail or break-off",
    attempt: "number of the attempt",
  }),
  216: entry("request-answered", "info", "A runner's answer was passed on.", {
    request: "attempt id of the caller",
    route: "route",
    runner: "id of the runner",
    status: "status of the answer",
    endMark: "what ended it: head, length, chunks, or only its connection",
    version: "configuration that decided",
    attempts: "attempts made",
    waitedMs: "time that it waited to be placed, ms",
    totalMs: "time from arrival to the end, ms",
  }),
  217: entry("runner-pace", "info", "A runner became slow, or recovered.", {
    address: "host:port",
    slowness: "processing time over the usual processing time",
  }),
  218: entry("pace-unknown", "warn", "A runner's pace couldn't be read.", {
    address: "host:port",
    reason: "failure seen",
  }),
  219: entry(
    "runner-missing",
    "info",
    "A registration disappeared around an outage; its runner is kept for now.",
    {
      runner: "id of the runner",
      keptMs: "time within which it has to register again, ms",
    },
  ),

  // 220: expert maps of engines that hold a step
  220: entry("map-planned", "info", "A better expert map was planned.", {
    map: "version of the new map",
    copies: "experts to copy",
    tokens: "expert choices, decayed over time, that the plan is based on",
    skewBefore: "work of the most loaded ranks over even work, old map",
    skewAfter: "forecast of the same on the new map",
  }),
  221: entry("map-switched", "info", "All ranks run on the planned map.", {
    map: "version of the map",
    copies: "experts that were copied",
    durationMs: "time since it was planned, ms",
  }),
  222: entry("rank-order-failed", "warn", "A rank didn't accept an order.", {
    order: "prepare, arm, disarm, hold or release",
    reason: "status, or why there was no answer",
  }),
  223: entry("group-incomplete", "warn", "Not all ranks can be reached.", {
    reason: "failure seen",
  }),
  224: entry("rank-pace", "info", "A slow rank was reported to the entries.", {
    address: "host:port of the runner",
    slowness: "processing time over the usual one; about 1 on recovery",
  }),

  // 230: requests that crash runners
  231: entry(
    "crash-suspected",
    "warn",
    "A runner crashed; the requests that ran there are suspects until they complete.",
    {
      runner: "id of the runner",
      suspects: "requests that were lost there",
      withheld: "number of them that are no longer run",
      samePart:
        "crashes, this one included, with the part of their prompts that recurs most",
    },
  ),
  232: entry("suspect-acquitted", "info", "A suspected request completed.", {
    request: "attempt id of the caller",
  }),
  233: entry("group-told", "info", "The ranks of a group were recorded.", {
    group: "service and group",
    epoch: "epoch of the group",
    ranks: "number of its ranks",
  }),
  234: entry(
    "group-formed",
    "info",
    "A group has formed, initially or again.",
    {
      group: "service and group",
      epoch: "epoch of the group",
      ranks: "number of its ranks",
    },
  ),
  235: entry(
    "runner-limited",
    "info",
    "A runner names a limit for the requests from all entries together.",
    { runner: "id of the runner", requestsPerSecond: "limit, requests/s" },
  ),
  236: entry("runner-unlimited", "info", "A runner names no limit any more.", {
    runner: "id of the runner",
  }),
  237: entry(
    "part-withheld",
    "warn",
    "Requests with this part of a prompt crash runners and aren't run any more.",
    { part: "digest of the part" },
  ),
  238: entry(
    "part-allowed",
    "info",
    "Requests with this part of a prompt are run again.",
    { part: "digest of the part" },
  ),

  // 241: evacuated data centres and cold runners
  241: entry(
    "data-centre-evacuated",
    "warn",
    "The operator has evacuated a data centre; its runners get no new requests.",
    { dataCentre: "name of the data centre" },
  ),
  242: entry(
    "data-centre-returned",
    "info",
    "The evacuation of a data centre has ended.",
    {
      dataCentre: "name of the data centre",
      cause:
        "removed by the operator, missing from the whole topic, or lapsed after the store was rolled back",
    },
  ),
  243: entry(
    "evacuation-without-runners",
    "warn",
    "No runner is registered in an evacuated data centre; its name may be wrong.",
    { dataCentre: "name of the data centre" },
  ),
  244: entry(
    "runner-cold",
    "info",
    "A runner is cold; it gets few requests until it is warm.",
    {
      runner: "id of the runner",
      cause: "register, answer, evacuation, or failure",
    },
  ),
  245: entry(
    "cold-rate-unusable",
    "warn",
    "The configuration's cold rate of a service is unusable; the earlier one stays.",
    {
      service: "name of the service",
      requestsPerSecond: "rate that stays; null without one",
    },
  ),

  // 246: shared view of load
  246: entry(
    "load-view-begun",
    "info",
    "The planner of a group tells this entry what all entries run there.",
    {
      group: "service and group",
      entries: "number of entries in the sums",
      planner: "host:port of the planner",
    },
  ),
  247: entry(
    "load-view-lost",
    "warn",
    "The planner of a group has told this entry nothing lately; the entry decides by itself.",
    {
      group: "service and group",
      ageMs: "age of the last view, ms",
    },
  ),
  248: entry(
    "load-datagram-unreadable",
    "warn",
    "A datagram of the shared view of load can't be read; each finding is logged once.",
    { from: "host of the sender", reason: "error message" },
  ),
  249: entry(
    "load-reports-ignored",
    "warn",
    "More entries report their load to this planner than it keeps.",
    { entries: "number of entries that it keeps" },
  ),
  250: entry(
    "load-socket-failed",
    "warn",
    "The socket of the shared view of load can't be bound, or can't send; each failure is logged once.",
    { reason: "error message" },
  ),

  // 251: limits shared by all entries
  251: entry(
    "limit-shared",
    "info",
    "The limits of all entries in a group are divided by what each has to run.",
    {
      group: "service and group",
      entries: "number of entries in the view of load",
      limit: "requests that this entry may run at once",
    },
  ),
  252: entry(
    "limit-unshared",
    "info",
    "No view of the group's load is left; this entry decides by itself.",
    { group: "service and group" },
  ),
  253: entry(
    "load-view-unusable",
    "warn",
    "The view of a group's load claims impossible figures; this entry decides by itself.",
    { group: "service and group", limit: "sum of all limits that it claims" },
  ),

  // 261: bounds of responses
  261: entry(
    "response-broken-off",
    "warn",
    "A runner's response was broken off because of a bound or of its content.",
    {
      request: "id of the request",
      runner: "id of the runner",
      reason: "bound that was exceeded, or fault of the content",
      bytes: "bytes of the body received until then",
    },
  ),

  // 262: what runners say of their own state
  262: entry(
    "runner-rests",
    "warn",
    "A runner asks this entry for rest; it gets nothing until then.",
    {
      runner: "id of the runner",
      cause: "what it answered: request or probe",
      restMs: "time that it asks for, ms",
    },
  ),
  263: entry(
    "runner-says-it-leaves",
    "info",
    "A runner says in an answer that it leaves; it gets nothing any more.",
    {
      runner: "id of the runner",
      cause: "what it answered: request or probe",
    },
  ),
  264: entry(
    "rest-unreadable",
    "warn",
    "A runner asks for rest with a value that can't be read, and gets none.",
    { runner: "id of the runner", value: "start of the value" },
  ),
  265: entry("rest-ended", "info", "A runner's rest has ended.", {
    runner: "id of the runner",
    cause: "elapsed, or incarnation-ended",
  }),

  // 266: circuit breaker of a group
  266: entry(
    "breaker-opened",
    "warn",
    "A group's runners refuse requests; it gets only trials.",
    {
      group: "group, or service without groups",
      runners: "ids of the runners that have refused, separated by commas",
    },
  ),
  267: entry(
    "breaker-closed",
    "info",
    "A group that refused requests gets them again.",
    {
      group: "group, or service without groups",
      runners: "ids of the runners that had refused, separated by commas",
      cause: "accepted, formed or restarted",
    },
  ),

  // 268: limits for what clients send
  268: entry(
    "request-limited",
    "info",
    "A request was refused, or lost with its connection, because of a limit for what callers send.",
    {
      reason: "which limit",
      bytes: "what the request would have held, bytes",
      heldBytes: "what all requests hold, bytes",
    },
  ),
  269: entry(
    "connection-closed",
    "info",
    "A connection was closed because of a limit for what clients may hold.",
    {
      listener: "which listener accepted it",
      reason: "which limit",
      connections: "connections of the listener",
    },
  ),
} as const satisfies Readonly<Record<number, EventEntry>>;

export type EventNumber = keyof typeof eventTable;

export type EventFields = Readonly<
  Record<string, string | number | boolean | null>
>;

/** Emits an event; passed to decision code as an argument. */
export type Emit = (number: EventNumber, fields?: EventFields) => void;

export const ignoreEvents: Emit = () => undefined;
