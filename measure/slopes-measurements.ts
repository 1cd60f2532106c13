/** The costs that the slopes measurement covers, with their sizes. */
import { processorMicroseconds, retainedBytes } from "./slopes-fit.js";
import { sessionRound } from "./slopes-sessions.js";
import {
  REQUEST,
  heartbeatBytes,
  reportBytes,
  heartbeatRound,
  createPublication,
  createClaimRecords,
  createAccountLimits,
  applyClaims,
  applyPublication,
  createPlacement,
  reportRound,
  planRound,
  createBalancer,
  feedRound,
} from "./slopes-workloads.js";

/** One cost measured at several sizes. */
export interface SlopeMeasurement {
  readonly name: string;
  /** What the size counts. */
  readonly sizeUnit: string;
  readonly costUnit: string;
  readonly sizes: readonly number[];
  /** Size for which the fit predicts the cost: the required deployment size. */
  readonly targetSize: number;
  readonly measure: (size: number) => number;
}

const PEER_COUNTS = [100, 200, 400, 820];
const ACCOUNT_COUNTS = [140, 280, 550, 1100];
const CLAIM_COUNTS = [2000, 4000, 8000, 16_000];
const EXPERT_COUNTS = [16, 32, 64, 128];

export const slopeMeasurements: readonly SlopeMeasurement[] = [
  {
    name: "heartbeat-processor",
    sizeUnit: "peers",
    costUnit: "µs a round",
    sizes: PEER_COUNTS,
    targetSize: 820,
    measure: (peers) => processorMicroseconds(heartbeatRound(peers)),
  },
  {
    name: "heartbeat-payload",
    sizeUnit: "peers",
    costUnit: "bytes a round",
    sizes: PEER_COUNTS,
    targetSize: 820,
    measure: (peers) =>
      peers * (heartbeatBytes(1000).length + reportBytes(1000).length),
  },
  {
    name: "machine-processor",
    sizeUnit: "peers",
    costUnit: "µs a round",
    sizes: PEER_COUNTS,
    targetSize: 820,
    measure: (peers) => processorMicroseconds(sessionRound(peers)),
  },
  {
    name: "load-report-processor",
    sizeUnit: "runners",
    costUnit: "µs a round",
    sizes: PEER_COUNTS,
    targetSize: 820,
    measure: (runners) => processorMicroseconds(reportRound(runners)),
  },
  {
    name: "placement-memory",
    sizeUnit: "runners",
    costUnit: "bytes",
    sizes: PEER_COUNTS,
    targetSize: 820,
    measure: (runners) => retainedBytes(() => createPlacement(runners)),
  },
  {
    name: "placement-decision",
    sizeUnit: "runners",
    costUnit: "µs a choice",
    sizes: PEER_COUNTS,
    targetSize: 820,
    measure: (runners) => {
      const placement = createPlacement(runners);
      return processorMicroseconds(() => {
        placement.choose(REQUEST);
      });
    },
  },
  {
    name: "configuration-processor",
    sizeUnit: "accounts",
    costUnit: "µs a change",
    sizes: ACCOUNT_COUNTS,
    targetSize: 1100,
    measure: (accounts) => {
      const record = createPublication(accounts);
      return processorMicroseconds(() => {
        applyPublication(record);
      });
    },
  },
  {
    name: "configuration-record",
    sizeUnit: "accounts",
    costUnit: "bytes a change",
    sizes: ACCOUNT_COUNTS,
    targetSize: 1100,
    measure: (accounts) => createPublication(accounts).data.length,
  },
  {
    name: "configuration-memory",
    sizeUnit: "accounts",
    costUnit: "bytes",
    sizes: ACCOUNT_COUNTS,
    targetSize: 1100,
    measure: (accounts) => {
      const record = createPublication(accounts);
      return retainedBytes(() => applyPublication(record));
    },
  },
  {
    name: "account-limits-memory",
    sizeUnit: "accounts",
    costUnit: "bytes",
    sizes: ACCOUNT_COUNTS,
    targetSize: 1100,
    measure: (accounts) => retainedBytes(() => createAccountLimits(accounts)),
  },
  {
    name: "claims-processor",
    sizeUnit: "claims",
    costUnit: "µs",
    sizes: CLAIM_COUNTS,
    targetSize: 16_000,
    measure: (claims) => {
      const records = createClaimRecords(claims);
      return processorMicroseconds(() => {
        applyClaims(records);
      });
    },
  },
  {
    name: "claims-memory",
    sizeUnit: "claims",
    costUnit: "bytes",
    sizes: CLAIM_COUNTS,
    targetSize: 16_000,
    measure: (claims) => {
      const records = createClaimRecords(claims);
      return retainedBytes(() => applyClaims(records));
    },
  },
  {
    name: "claims-log",
    sizeUnit: "claims",
    costUnit: "bytes in the log",
    sizes: CLAIM_COUNTS,
    targetSize: 16_000,
    measure: (claims) =>
      createClaimRecords(claims).reduce(
        (sum, { data }) => sum + data.length,
        0,
      ),
  },
  {
    name: "feed-processor",
    sizeUnit: "readers",
    costUnit: "µs a change",
    sizes: [5, 10, 20, 40, 80],
    targetSize: 160,
    measure: (readers) => processorMicroseconds(feedRound(readers)),
  },
  {
    name: "planner-processor",
    sizeUnit: "experts a layer",
    costUnit: "µs a plan",
    sizes: EXPERT_COUNTS,
    targetSize: 128,
    measure: (experts) => processorMicroseconds(planRound(experts)),
  },
  {
    name: "balancer-memory",
    sizeUnit: "experts a layer",
    costUnit: "bytes",
    sizes: EXPERT_COUNTS,
    targetSize: 128,
    measure: (experts) => retainedBytes(() => createBalancer(experts)),
  },
];
