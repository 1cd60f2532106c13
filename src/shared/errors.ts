/**
 * The one table of numbered errors. Every failure of the product is one of
 * these; nothing throws a bare string. docs/ERRORS.md is made from it.
 */

/** What became of the request that an error answers. */
export type Outcome =
  /** The work was never started and never will be under this attempt. */
  | "not-run"
  /** Nobody can tell any more whether the work was started. */
  | "unknown"
  /** The work was started and its answer was cut short. */
  | "broken-off"
  /** The error answers no request of a caller. */
  | "none";

export interface ErrorEntry {
  readonly name: string;
  /** HTTP status for callers; 0 where no caller ever sees it. */
  readonly status: number;
  readonly outcome: Outcome;
  readonly text: string;
  /** What the reader of the error can do. */
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
    "The backend server can't be asked whether the work was started.",
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
    "Pieces of the answer were lost or damaged and can't be had again.",
    "Repeat the request if it may be repeated.",
  ),
  1218: entry(
    "caller-gone",
    499,
    "broken-off",
    "The caller closed its connection or stopped reading.",
    "Keep reading; repeat with the same key to get an answer held for it.",
  ),
  1219: entry(
    "grace-expired",
    503,
    "broken-off",
    "This process stopped before the answer was complete.",
    "Connect again; repeat with the same key to get an answer held for it.",
  ),

  // 1300: claims of requests that may not be repeated

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
    "The backend server is at its own limit.",
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

  // 1600: expert map

  // 1700: orders and fencing

  // 1800: expert balance and traces

  // 1900: platform services
  1901: entry(
    "log-unavailable",
    503,
    "not-run",
    "The platform's log service doesn't answer.",
    "Wait for the platform; repeatable work goes on.",
  ),
  1902: entry(
    "log-record-lost",
    0,
    "none",
    "The log no longer holds the wanted records.",
    "Start from a checkpoint or from a peer's snapshot.",
  ),
  1903: entry(
    "platform-answer-invalid",
    0,
    "none",
    "A platform service sent an answer that can't be understood.",
    "Check the release of the platform service.",
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
} as const satisfies Readonly<Record<number, ErrorEntry>>;

export type ErrorNumber = keyof typeof errorTable;

export type ErrorDetail = Readonly<
  Record<string, string | number | boolean | null>
>;

/** A numbered failure of the table above. */
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

/** Makes a failure to be returned. */
export function failure(
  number: ErrorNumber,
  detail: ErrorDetail = {},
  cause?: unknown,
): ApricotdeckError {
  return ApricotdeckError.create(number, detail, cause);
}

/** The one place that throws. */
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

/** Wraps what a library threw; a numbered failure passes unchanged. */
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
