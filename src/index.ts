/**
 * Public interface of the library: the coordination logic, without network I/O.
 */

// shared
export {
  ApricotdeckError,
  compareReadings,
  createRandom,
  errorTable,
  eventTable,
  HybridClock,
  metricTable,
} from "./internal.js";
export type {
  ClockReading,
  Emit,
  ErrorEntry,
  ErrorNumber,
  EventEntry,
  EventFields,
  EventNumber,
  Measurements,
  MetricEntry,
  MetricKey,
  Outcome,
  Random,
} from "./internal.js";

// configuration
export {
  applyRecord,
  applyRecords,
  checkConfiguration,
  contentHash,
  createCheckpoint,
  initialConfigurationState,
  skipTrimmed,
  verdictFailure,
} from "./internal.js";
export type {
  Checkpoint,
  Configuration,
  ConfigurationState,
  LogRecord,
  Publication,
  Verdict,
} from "./internal.js";

// claims
export {
  checkKeyAge,
  ClaimCoordinator,
  claimStream,
  ClaimTable,
  decodeClaimBatch,
  encodeClaimBatch,
  parseIdempotencyKey,
} from "./internal.js";

// session
export {
  addConservation,
  AgentGate,
  EntrySessions,
  SESSION_LIMITS,
} from "./internal.js";
export type {
  AgentEffect,
  AgentFrame,
  AgentGateOptions,
  AgentStatus,
  Call,
  CloseReply,
  Conservation,
  EntryEffect,
  EntryFrame,
  EntrySessionsOptions,
  EntryStatus,
  SessionId,
  SessionLimits,
} from "./internal.js";

// admission
export {
  Admission,
  AgentLimit,
  OutputEstimate,
  RetryAllowance,
} from "./internal.js";
export type {
  AdmissionDecision,
  AdmissionInputs,
  AdmissionRequest,
  Refusal,
} from "./internal.js";

// placement
export { defaultPlacementSettings, Placement } from "./internal.js";
export type {
  CacheEvent,
  PlacedRequest,
  PlacementChoice,
  PlacementInputs,
  PlacementRequest,
  PlacementSettings,
  RunnerDescription,
  RunnerLoad,
} from "./internal.js";

// balance
export {
  Balancer,
  checkMap,
  checkShape,
  createEvenMap,
  distributeRequests,
  Planner,
  PlannerThread,
  runPlannerTask,
  WindowAssembly,
  WindowCollector,
} from "./internal.js";
export type {
  DecisionInput,
  ExpertMap,
  ExpertMove,
  GroupShape,
  MoveCosts,
  MovePlan,
  Plan,
  PlanForecast,
  PlannerTaskOptions,
  PlannerWindow,
  RankReport,
  RankStep,
  StayReason,
} from "./internal.js";

// expert map switch
export {
  GroupAgent,
  hashExpertMap,
  MapProposer,
  MapSwitch,
} from "./internal.js";
export type {
  Ballot,
  EngineCall,
  EngineMapState,
  MapEffect,
  MapMessage,
  ProposalOutcome,
  StepReport,
  VersionedMap,
} from "./internal.js";

// orders
export { applyLeaseRecord, LeaseHolder, OrderExecutor } from "./internal.js";
export type { Order, OrderKind } from "./internal.js";
