/**
 * Table of all numbered errors. Every failure of the product is one of these.
 * docs/ERRORS.md is generated from it.
 */

/** Outcome of the request that the error answers. */
export type Outcome =
  /** The work was never started and never will be under this attempt. */
  | "not-run"
  /** It can't be determined whether the work was started. */
  | "unknown"
  /** The work was started and its answer is incomplete. */
  | "broken-off"
  /** The error isn't an answer to a caller's request. */
  | "none";

export interface ErrorEntry {
  readonly name: string;
  /** HTTP status for callers; 0 if callers never see the error. */
  readonly status: number;
  readonly outcome: Outcome;
  readonly text: string;
  /** What the caller or operator can do. */
  readonly remedy: string;
}

const entry = (
  name: string,
  status: number,
  outcome: Outcome,
  text: string,
  remedy: string,
): ErrorEntry => ({ name, status, outcome, text, remedy });

export const errorTable = {
  // 1000: settings and start
  1001: entry(
    "settings-unreadable",
    0,
    "none",
    "The settings file can't be read.",
    "Check the path and the permissions of the file.",
  ),
  1002: entry(
    "settings-invalid",
    0,
    "none",
    "The settings file doesn't follow the schema.",
    "Correct the named field; docs/CONFIGURATION.md lists types and limits.",
  ),
  1003: entry(
    "transport-insecure",
    0,
    "none",
    "Plaintext is only allowed on loopback addresses.",
    "Configure certificates, or set transport.allowPlaintext.",
  ),

  // 1100: configuration
  1101: entry(
    "configuration-invalid",
    0,
    "none",
    "The published configuration is invalid.",
    "Run `apricotdeck check FILE` and correct the named field.",
  ),
  1102: entry(
    "configuration-superseded",
    0,
    "none",
    "Another publication based on the same version came first in the log.",
    "Look at the difference with `apricotdeck show` and publish again.",
  ),
  1103: entry(
    "configuration-missing",
    503,
    "not-run",
    "No configuration is in force in this process yet.",
    "Retry later; operators look at `apricotdeck status`.",
  ),
  1104: entry(
    "configuration-version-fell",
    0,
    "none",
    "An older configuration was about to replace the one in force.",
    "The one in force stays; send a support bundle.",
  ),
  1105: entry(
    "configuration-record-unreadable",
    0,
    "none",
    "A record of the configuration stream can't be read.",
    "The record is ignored; check which other process writes to the stream.",
  ),
  1106: entry(
    "configuration-not-understood",
    0,
    "none",
    "The format of the publication is newer than this release.",
    "The older content stays in force here; upgrade this process.",
  ),
  1107: entry(
    "checkpoint-disagrees",
    0,
    "none",
    "A checkpoint contradicts what this process read from the log.",
    "The checkpoint is ignored; send a support bundle.",
  ),

  // 1200: requests and answers
  1201: entry(
    "request-malformed",
    400,
    "not-run",
    "The request can't be understood.",
    "Correct the request; the detail names the field.",
  ),
  1202: entry(
    "credential-rejected",
    401,
    "not-run",
    "The bearer credential is missing or unknown.",
    "Send a credential of a configured client account.",
  ),
  1203: entry(
    "profile-unknown",
    404,
    "not-run",
    "No such profile is open to this client account.",
    "Name a published profile; operators look at `apricotdeck show`.",
  ),
  1204: entry(
    "model-unknown",
    404,
    "not-run",
    "The model isn't served under this profile.",
    "List the models with GET /v1/models.",
  ),
  1205: entry(
    "request-too-large",
    413,
    "not-run",
    "The head or the body of the request is over its limit.",
    "Send a smaller request, or raise the limit in the settings.",
  ),
  1206: entry(
    "request-too-slow",
    408,
    "not-run",
    "The request wasn't received completely in time.",
    "Send the request again.",
  ),
  1207: entry(
    "path-unknown",
    404,
    "not-run",
    "There is nothing at this path.",
    "Use /v1/chat/completions, /v1/completions, /v1/models or a service path.",
  ),
  1208: entry(
    "method-not-allowed",
    405,
    "not-run",
    "The path doesn't take this method.",
    "Use the method that the interface documents.",
  ),
  1209: entry(
    "no-backend-server",
    503,
    "not-run",
    "No backend server able to serve the request can be reached.",
    "Retry after the given time.",
  ),
  1210: entry(
    "attempt-broken",
    502,
    "broken-off",
    "The answer broke off after it had started.",
    "Repeat the request if it may be repeated.",
  ),
  1211: entry(
    "outcome-unknown",
    504,
    "unknown",
    "It can't be determined whether a backend server started the work.",
    "Check the effect before the request is repeated.",
  ),
  1212: entry(
    "deadline-exceeded",
    504,
    "broken-off",
    "The answer wasn't complete when the deadline of the profile passed.",
    "Ask for less, or raise the deadline of the profile.",
  ),
  1213: entry(
    "shutting-down",
    503,
    "not-run",
    "This process is leaving and takes no new requests.",
    "Connect again; another entry VM takes the request.",
  ),
  1214: entry(
    "backend-server-refused",
    503,
    "not-run",
    "The backend server refused the work before it started.",
    "Retry after the given time.",
  ),
  1215: entry(
    "internal-failure",
    500,
    "unknown",
    "An internal failure ended the request.",
    "Send a support bundle; see docs/OPERATIONS.",
  ),
  1216: entry(
    "engine-failed",
    502,
    "broken-off",
    "The model engine failed while it answered.",
    "Repeat the request if it may be repeated.",
  ),

  1217: entry(
    "answer-incomplete",
    502,
    "broken-off",
    "Pieces of the answer were lost or damaged and couldn't be recovered.",
    "Repeat the request if it may be repeated.",
  ),
  1218: entry(
    "caller-gone",
    499,
    "broken-off",
    "The caller closed its connection or stopped reading.",
    "Read the whole answer; repeat with the same key to get a stored answer.",
  ),
  1219: entry(
    "grace-expired",
    503,
    "broken-off",
    "This process stopped before the answer was complete.",
    "Connect again; repeat with the same key to get a stored answer.",
  ),

  1220: entry(
    "request-withheld",
    502,
    "not-run",
    "The same request has crashed the backend servers that ran it.",
    "Don't repeat it; find out what in it crashes the backend servers.",
  ),
  1221: entry(
    "service-evacuated",
    503,
    "not-run",
    "All backend servers of the service are in evacuated data centres.",
    "Retry after the given time, or end an evacuation.",
  ),
  1222: entry(
    "service-rests",
    503,
    "not-run",
    "All backend servers of the service have asked for rest.",
    "Retry after the given time: then the first rest ends.",
  ),
  1223: entry(
    "answer-not-held",
    502,
    "broken-off",
    "The answer is too large to be held back for a caller of HTTP/1.0.",
    "Use HTTP/1.1, or raise the limit in the settings.",
  ),
  1224: entry(
    "request-memory-full",
    503,
    "not-run",
    "The requests that this process holds take too much memory.",
    "Retry after the given time, or send a smaller request.",
  ),

  // 1300: claims of requests that may not be repeated
  1301: entry(
    "idempotency-key-malformed",
    400,
    "not-run",
    "The idempotency key isn't a UUID of version 7.",
    "Send a UUIDv7 (RFC 9562) in the header Idempotency-Key.",
  ),
  1302: entry(
    "idempotency-key-too-old",
    409,
    "unknown",
    "The idempotency key is older than what can still be looked up.",
    "Check the effect of the earlier call before it is sent under a new key.",
  ),
  1303: entry(
    "idempotency-key-from-future",
    400,
    "unknown",
    "The time in the idempotency key is too far ahead of this process's clock.",
    "Correct the clock of the caller.",
  ),
  1304: entry(
    "call-not-started-here",
    503,
    "unknown",
    "This call started nothing, but an earlier one under its key may have.",
    "Repeat with the same key; that is always safe.",
  ),
  1305: entry(
    "call-not-taken",
    503,
    "not-run",
    "No backend server took the call; its key is closed.",
    "Send the call again under a new key.",
  ),
  1306: entry(
    "idempotency-key-closed",
    409,
    "not-run",
    "The call was given up earlier and its key is closed.",
    "Send the call again under a new key.",
  ),
  1307: entry(
    "claim-undecided",
    503,
    "unknown",
    "The log service didn't tell in time whose claim came first.",
    "Repeat with the same key; that is always safe.",
  ),
  1308: entry(
    "claimed-outcome-unknown",
    504,
    "unknown",
    "The agent that holds the call can't tell whether it was started.",
    "Repeat with the same key, or check the effect of the call.",
  ),
  1309: entry(
    "answer-no-longer-held",
    409,
    "broken-off",
    "The call was run, but its answer is no longer held.",
    "Check the effect of the call; don't send it under a new key.",
  ),

  // 1400: sessions between entry and agent
  1401: entry(
    "session-incarnation",
    503,
    "not-run",
    "The session belongs to another incarnation of the agent.",
    "None needed; the entry opens a new session.",
  ),
  1402: entry(
    "agent-leaving",
    503,
    "not-run",
    "The backend server is leaving and takes no new work.",
    "None needed; the entry places the request elsewhere.",
  ),
  1409: entry(
    "backend-server-rests",
    503,
    "not-run",
    "The backend server has asked for rest.",
    "Retry after the given time: then the rest ends.",
  ),
  1403: entry(
    "session-silent",
    504,
    "unknown",
    "The connection to the agent fell silent.",
    "None needed; the entry closes the session and resumes.",
  ),
  1404: entry(
    "agent-full",
    503,
    "not-run",
    "The backend server is at its limit of running requests.",
    "Retry after the given time.",
  ),

  1405: entry(
    "run-not-found",
    503,
    "not-run",
    "The agent knows no run that this attempt could resume.",
    "None needed; the entry decides what became of the request.",
  ),
  1406: entry(
    "attempt-withdrawn",
    503,
    "not-run",
    "The attempt was withdrawn before it reached the agent.",
    "None needed; the entry that withdrew it may place the request.",
  ),
  1407: entry(
    "session-not-live",
    503,
    "not-run",
    "There is no live session to the wanted agent.",
    "None needed; the entry places the request elsewhere.",
  ),

  // 1500: admission and placement
  1501: entry(
    "queue-full",
    429,
    "not-run",
    "The queue of the profile is full.",
    "Retry after the given time.",
  ),
  1502: entry(
    "deadline-unreachable",
    503,
    "not-run",
    "The work can't be finished within its deadline.",
    "Retry after the given time, or raise the deadline.",
  ),
  1503: entry(
    "queue-wait-exceeded",
    503,
    "not-run",
    "The request waited as long as its profile lets it.",
    "Retry after the given time.",
  ),
  1504: entry(
    "account-limit-reached",
    429,
    "not-run",
    "The client account has used up its tokens for now.",
    "Retry after the given time, or raise the limit of the account.",
  ),
  1505: entry(
    "queue-displaced",
    429,
    "not-run",
    "The queue is full and the client account has more than its share in it.",
    "Retry after the given time.",
  ),

  // 1600: expert map
  1602: entry(
    "expert-map-not-staged",
    0,
    "none",
    "Not every member had the weights of the new map in time.",
    "Look at the weight store and at the named members; propose again.",
  ),
  1603: entry(
    "expert-map-busy",
    0,
    "none",
    "Another proposal of this agent is still running.",
    "Wait for its end.",
  ),
  1604: entry(
    "expert-map-overtaken",
    0,
    "none",
    "The group re-formed or switched its map before the proposal was submitted.",
    "Plan from the map in force and propose again.",
  ),
  1606: entry(
    "group-not-formed",
    0,
    "none",
    "The group isn't formed, or an engine hasn't joined it.",
    "Wait for the formation; see docs/OPERATIONS/stuck-map-switch.md.",
  ),
  1607: entry(
    "engine-unreachable",
    0,
    "none",
    "The engine gave no usable answer.",
    "Check the engine; whether the order took effect is read back.",
  ),
  1608: entry(
    "weights-unavailable",
    0,
    "none",
    "A part of an expert's weights can't be fetched from the weight store.",
    "Check the weight store; the fetch resumes where it stopped.",
  ),

  // 1700: orders and fencing
  1701: entry(
    "order-fenced",
    0,
    "none",
    "A newer lease holder has given orders; this fencing token is stale.",
    "None needed; the newer holder's orders stand.",
  ),
  1702: entry(
    "order-not-yet",
    0,
    "none",
    "The agent can't give orders to its engine yet.",
    "Send the order again after the given time.",
  ),
  1703: entry(
    "order-unconfirmed",
    0,
    "none",
    "The engine's state didn't confirm the order in time.",
    "Read the state of the engine; send the order again.",
  ),
  1704: entry(
    "lease-not-held",
    0,
    "none",
    "This process holds no lease for orders, or the lease has expired.",
    "Acquire the lease first.",
  ),

  // 1800: expert balance and traces
  1801: entry(
    "trace-invalid",
    0,
    "none",
    "A line of the trace can't be used.",
    'Correct the named line: {"window": i, "counts": [[tokens of each expert] of each layer]}.',
  ),
  1802: entry(
    "trace-unreadable",
    0,
    "none",
    "The trace file can't be read.",
    "Check the path and the permissions of the file.",
  ),
  1803: entry(
    "expert-map-invalid",
    0,
    "none",
    "An expert map or the shape of its group breaks a rule.",
    "Check ranks, experts and slots of the group; the detail names the layer.",
  ),
  1804: entry(
    "measurement-option-invalid",
    0,
    "none",
    "An option of the measurement can't be used.",
    "Correct the named option.",
  ),
  1805: entry(
    "planner-ended",
    0,
    "none",
    "The thread that plans expert maps ended.",
    "None needed; it is restarted. If it ends repeatedly, send a support bundle.",
  ),

  // 1900: platform services
  1901: entry(
    "log-unavailable",
    503,
    "not-run",
    "The platform's log or store doesn't answer.",
    "Wait for the platform; repeatable requests are still served.",
  ),
  1902: entry(
    "log-record-lost",
    0,
    "none",
    "The log or store no longer holds the wanted records.",
    "Start from a checkpoint or from a peer's snapshot.",
  ),
  1903: entry(
    "platform-answer-invalid",
    0,
    "none",
    "A platform service sent an answer that can't be understood.",
    "Check the release of the platform service.",
  ),
  1904: entry(
    "store-answer-outdated",
    0,
    "none",
    "The answer predates the restore of the store from an older copy.",
    "None needed; the request is repeated.",
  ),
  1905: entry(
    "load-datagram-invalid",
    0,
    "none",
    "A datagram of the shared view of load can't be read.",
    "Check the release of its sender; entries decide by themselves meanwhile.",
  ),

  // 2000: command-line tool
  2001: entry(
    "peer-unreachable",
    0,
    "none",
    "A process of the system can't be reached.",
    "Check the address and whether the process runs.",
  ),
  2002: entry(
    "wait-expired",
    0,
    "none",
    "Not every process reported the expected state in time.",
    "Run `apricotdeck status` and look at the named processes.",
  ),
  2003: entry(
    "verdict-unknown",
    0,
    "none",
    "The log didn't show the publication in time; it may still appear.",
    "Run `apricotdeck history` before publishing again.",
  ),
  2004: entry(
    "process-unknown",
    0,
    "none",
    "The list of VMs contains no process of this name.",
    "Run `apricotdeck status` for the names.",
  ),
} as const satisfies Readonly<Record<number, ErrorEntry>>;

export type ErrorNumber = keyof typeof errorTable;

export type ErrorDetail = Readonly<
  Record<string, string | number | boolean | null>
>;

/** An error of the table above with its details. */
export class ApricotdeckError extends Error {
  private constructor(
    readonly number: ErrorNumber,
    readonly detail: ErrorDetail,
    cause: unknown,
  ) {
    super(describeError(number, detail), { cause });
    this.name = "ApricotdeckError";
  }

  static create(
    number: ErrorNumber,
    detail: ErrorDetail = {},
    cause?: unknown,
  ): ApricotdeckError {
    return new ApricotdeckError(number, detail, cause);
  }

  get entry(): ErrorEntry {
    return errorTable[this.number];
  }
}

/** Creates an error without throwing it. */
export function failure(
  number: ErrorNumber,
  detail: ErrorDetail = {},
  cause?: unknown,
): ApricotdeckError {
  return ApricotdeckError.create(number, detail, cause);
}

/** Throws a numbered error. */
export function raise(
  number: ErrorNumber,
  detail: ErrorDetail = {},
  cause?: unknown,
): never {
  throw failure(number, detail, cause);
}

export function isErrorNumber(value: number): value is ErrorNumber {
  return Object.hasOwn(errorTable, value);
}

/** Wraps an error of a library; a numbered error is returned unchanged. */
export function toFailure(
  thrown: unknown,
  number: ErrorNumber,
): ApricotdeckError {
  if (thrown instanceof ApricotdeckError) return thrown;
  const reason = thrown instanceof Error ? thrown.message : "not an error";
  return failure(number, { reason }, thrown);
}

function describeError(number: ErrorNumber, detail: ErrorDetail): string {
  const { name, text } = errorTable[number];
  const fields = Object.entries(detail).map(
    ([key, value]) => `${key}=${String(value)}`,
  );
  const suffix = fields.length > 0 ? ` (${fields.join(", ")})` : "";
  return `${number} ${name}: ${text}${suffix}`;
}
