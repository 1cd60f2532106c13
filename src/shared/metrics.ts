/**
 * Table of all metrics. docs/METRICS.md is generated from it, and the daemons
 * register exactly these.
 */

export interface MetricEntry {
  readonly name: string;
  readonly kind: "counter" | "gauge" | "histogram";
  readonly unit: string;
  readonly labels: readonly string[];
  readonly meaning: string;
  readonly buckets?: readonly number[];
}

const DURATION_BUCKETS_SECONDS = [
  0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100,
];

export const metricTable = {
  // requests
  requestDuration: {
    name: "apricotdeck_request_duration_seconds",
    kind: "histogram",
    unit: "s",
    labels: ["outcome"],
    meaning: "Time from acceptance to the final outcome of a request.",
    buckets: DURATION_BUCKETS_SECONDS,
  },
  requestsInFlight: {
    name: "apricotdeck_requests_in_flight",
    kind: "gauge",
    unit: "requests",
    labels: [],
    meaning: "Accepted requests without a final outcome yet.",
  },
  attemptsRunning: {
    name: "apricotdeck_attempts_running",
    kind: "gauge",
    unit: "attempts",
    labels: [],
    meaning: "Attempts that run at the agent's backend server.",
  },

  // configuration
  configurationVersion: {
    name: "apricotdeck_configuration_version",
    kind: "gauge",
    unit: "offset",
    labels: [],
    meaning: "Version in force in this process; -1 before the first.",
  },

  // direct path of an entry
  firstEventDelay: {
    name: "apricotdeck_first_event_seconds",
    kind: "histogram",
    unit: "s",
    labels: [],
    meaning: "Time from a stream's arrival to its first event.",
    buckets: DURATION_BUCKETS_SECONDS,
  },
  eventPause: {
    name: "apricotdeck_event_pause_seconds",
    kind: "histogram",
    unit: "s",
    labels: [],
    meaning: "Pause between two events of a stream.",
    buckets: DURATION_BUCKETS_SECONDS,
  },
  streamsAnswered: {
    name: "apricotdeck_streams_answered_total",
    kind: "counter",
    unit: "streams",
    labels: ["timeliness"],
    meaning:
      "Streams that were passed on to their end: in-time, or late-start, late-pause or late-start-and-pause by what took longer than the route's objectives.",
  },
  refusedCallers: {
    name: "apricotdeck_refused_callers_total",
    kind: "counter",
    unit: "callers",
    labels: ["result"],
    meaning:
      "Callers that were refused before they reached a runner: refused-once, refused-again when they came back, or served-later when they did.",
  },
  limitedRunners: {
    name: "apricotdeck_limited_runners",
    kind: "gauge",
    unit: "runners",
    labels: [],
    meaning: "Runners that name this entry a limit for their requests.",
  },
  coldRunners: {
    name: "apricotdeck_cold_runners",
    kind: "gauge",
    unit: "runners",
    labels: [],
    meaning: "Runners that this entry treats as cold.",
  },
  runnerHeldBack: {
    name: "apricotdeck_runner_held_back",
    kind: "gauge",
    unit: "1; no series otherwise",
    labels: ["runner", "cause"],
    meaning:
      "The runner gets no requests from this entry: rest, because it asked for rest; leaving, because it said that it leaves; breaker, because its group refuses and gets only trials; ejected, because it fails.",
  },
  dataCentreEvacuated: {
    name: "apricotdeck_data_centre_evacuated",
    kind: "gauge",
    unit: "1 or 0",
    labels: ["evacuated"],
    meaning: "Whether the operator has evacuated the data centre.",
  },
  groupLimit: {
    name: "apricotdeck_group_limit_requests",
    kind: "gauge",
    unit: "requests",
    labels: ["group"],
    meaning: "Most requests that this entry runs in the group at a time.",
  },
  groupPause: {
    name: "apricotdeck_group_pause_seconds",
    kind: "gauge",
    unit: "s",
    labels: ["group"],
    meaning: "Mean pause between two events of this entry's streams.",
  },
  attemptsEnded: {
    name: "apricotdeck_attempts_ended_total",
    kind: "counter",
    unit: "attempts",
    labels: ["end"],
    meaning: "Attempts at runners by how they ended.",
  },
  answersPassedOn: {
    name: "apricotdeck_answers_passed_on_total",
    kind: "counter",
    unit: "answers",
    labels: ["end_mark"],
    meaning:
      "Answers passed on by what ended them: head, length, chunks, or only the end of the connection.",
  },
  heldResponseBytes: {
    name: "apricotdeck_held_response_bytes",
    kind: "gauge",
    unit: "bytes",
    labels: [],
    meaning: "Bytes of runners' responses that the entry holds.",
  },
  heldRequestBytes: {
    name: "apricotdeck_held_request_bytes",
    kind: "gauge",
    unit: "bytes",
    labels: [],
    meaning: "Bytes that the process holds for callers' requests.",
  },
  requestsLimited: {
    name: "apricotdeck_requests_limited_total",
    kind: "counter",
    unit: "requests",
    labels: ["reason"],
    meaning:
      "Requests that were refused, or lost with their connection, because of a limit for what callers send.",
  },
  openConnections: {
    name: "apricotdeck_open_connections",
    kind: "gauge",
    unit: "connections",
    labels: ["listener"],
    meaning: "Accepted connections by listener.",
  },
  connectionsClosed: {
    name: "apricotdeck_connections_closed_total",
    kind: "counter",
    unit: "connections",
    labels: ["listener", "reason"],
    meaning:
      "Accepted connections that were closed because of a limit for what clients may hold.",
  },
  responsesBrokenOff: {
    name: "apricotdeck_responses_broken_off_total",
    kind: "counter",
    unit: "responses",
    labels: ["reason"],
    meaning:
      "Runners' responses that were broken off because of a bound or of their content.",
  },
  runnersKnown: {
    name: "apricotdeck_runners_known",
    kind: "gauge",
    unit: "runners",
    labels: [],
    meaning: "Runners that may get work as far as this process knows.",
  },
  runnerGroups: {
    name: "apricotdeck_runner_groups",
    kind: "gauge",
    unit: "groups",
    labels: [],
    meaning: "Groups of runners that this process knows of.",
  },
  loadViewAge: {
    name: "apricotdeck_load_view_age_seconds",
    kind: "gauge",
    unit: "s",
    labels: ["group"],
    meaning:
      "Age of this entry's view of the load that all entries have in the group; -1 after it was lost.",
  },
  loadViewEntries: {
    name: "apricotdeck_load_view_entries",
    kind: "gauge",
    unit: "entries",
    labels: ["group"],
    meaning: "Entries whose load this planner has heard of lately.",
  },
  loadDatagrams: {
    name: "apricotdeck_load_datagrams_total",
    kind: "counter",
    unit: "datagrams",
    labels: ["result"],
    meaning:
      "Datagrams of the shared view of load: sent, received, ignored (late, doubled or of another group or run) or unreadable.",
  },
  storeEra: {
    name: "apricotdeck_store_era",
    kind: "gauge",
    unit: "era",
    labels: [],
    meaning:
      "Era of the platform's store; it rises when the store comes back from an older copy.",
  },
  storeOutages: {
    name: "apricotdeck_store_outages_total",
    kind: "counter",
    unit: "outages",
    labels: ["topic"],
    meaning: "Times that the platform's store was lost.",
  },
  suspectRequests: {
    name: "apricotdeck_suspect_requests",
    kind: "gauge",
    unit: "requests",
    labels: [],
    meaning: "Requests suspected of crashing runners, innocent ones included.",
  },
  withheldParts: {
    name: "apricotdeck_withheld_parts",
    kind: "gauge",
    unit: "parts",
    labels: [],
    meaning: "Parts of prompts because of which requests are withheld.",
  },
  recordsUnusable: {
    name: "apricotdeck_records_unusable_total",
    kind: "counter",
    unit: "records",
    labels: ["topic"],
    meaning: "Records of the platform's store that were left out.",
  },
  groupSkew: {
    name: "apricotdeck_group_skew",
    kind: "gauge",
    unit: "ratio",
    labels: [],
    meaning: "Work of the most loaded ranks over even work, at the last plan.",
  },

  // claims
  claimSteps: {
    name: "apricotdeck_claim_steps_total",
    kind: "counter",
    unit: "steps",
    labels: ["step"],
    meaning: "Calls that may not be repeated: dispatched, attached, refused.",
  },
  claimAppends: {
    name: "apricotdeck_claim_appends_total",
    kind: "counter",
    unit: "appends",
    labels: ["result"],
    meaning: "Appends to the claim streams: answered or failed.",
  },
  claimWait: {
    name: "apricotdeck_claim_wait_seconds",
    kind: "histogram",
    unit: "s",
    labels: ["step"],
    meaning: "Time from the beginning of a call to each of its steps.",
    buckets: DURATION_BUCKETS_SECONDS,
  },

  // admission and placement
  admissionWaiting: {
    name: "apricotdeck_admission_waiting",
    kind: "gauge",
    unit: "requests",
    labels: [],
    meaning: "Requests that wait at the entry for room at a backend server.",
  },
  admissionRefused: {
    name: "apricotdeck_admission_refused_total",
    kind: "counter",
    unit: "requests",
    labels: ["error"],
    meaning: "Requests refused or given up by the entry, by error number.",
  },
  runnersEjected: {
    name: "apricotdeck_placement_ejected",
    kind: "gauge",
    unit: "backend servers",
    labels: [],
    meaning: "Failing backend servers that get no work but probes.",
  },

  // expert map and orders
  mapProposals: {
    name: "apricotdeck_map_proposals_total",
    kind: "counter",
    unit: "proposals",
    labels: ["end"],
    meaning: "Proposals of this agent by their end.",
  },
  mapSwitchDuration: {
    name: "apricotdeck_map_switch_duration_seconds",
    kind: "histogram",
    unit: "s",
    labels: [],
    meaning: "Time from a proposal of this agent to its end.",
    buckets: DURATION_BUCKETS_SECONDS,
  },
  mapHeld: {
    name: "apricotdeck_map_held_seconds_total",
    kind: "counter",
    unit: "s",
    labels: [],
    meaning: "Time that the engine held at an undecided step.",
  },
  mapFetchedBytes: {
    name: "apricotdeck_map_fetched_bytes_total",
    kind: "counter",
    unit: "bytes",
    labels: [],
    meaning: "Bytes of weights fetched for expert maps.",
  },
  mapVersion: {
    name: "apricotdeck_map_version",
    kind: "gauge",
    unit: "version",
    labels: [],
    meaning: "Version of the expert map that the engine runs on.",
  },
  stepReports: {
    name: "apricotdeck_step_reports_total",
    kind: "counter",
    unit: "reports",
    labels: [],
    meaning: "Step reports checked against the expected map.",
  },
  orders: {
    name: "apricotdeck_orders_total",
    kind: "counter",
    unit: "orders",
    labels: ["end"],
    meaning: "Orders to the engine by their end.",
  },
} as const satisfies Readonly<Record<string, MetricEntry>>;

export type MetricKey = keyof typeof metricTable;

/** Values of a metric's labels. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Records metrics; passed to decision code as an argument. */
export interface Measurements {
  readonly count: (
    key: MetricKey,
    labels?: MetricLabels,
    amount?: number,
  ) => void;
  /** With undefined, the gauge has no series of these labels any more. */
  readonly set: (
    key: MetricKey,
    value: number | undefined,
    labels?: MetricLabels,
  ) => void;
  readonly observe: (
    key: MetricKey,
    value: number,
    labels?: MetricLabels,
  ) => void;
}

export const ignoreMeasurements: Measurements = {
  count: () => undefined,
  set: () => undefined,
  observe: () => undefined,
};
