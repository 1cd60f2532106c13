/** Public interface of the library: the coordination parts. */
export {
  Admission,
  AgentLimit,
  ApricotdeckError,
  Placement,
  RetryAllowance,
  defaultPlacementSettings,
  errorTable,
  eventTable,
  HybridClock,
  compareReadings,
  createRandom,
} from "./internal.js";
export type {
  AdmissionInputs,
  AdmissionRequest,
  CacheEvent,
  Choice,
  ClockReading,
  Emit,
  ErrorEntry,
  ErrorNumber,
  EventEntry,
  EventFields,
  EventNumber,
  Offer,
  Outcome,
  Placed,
  PlacementInputs,
  PlacementRequest,
  PlacementSettings,
  Random,
  Refusal,
  RunnerDescription,
  RunnerLoad,
} from "./internal.js";

// Published configuration: acceptance as a function of the log.
export {
  adoptSnapshot,
  applyRecord,
  applyRecords,
  checkConfiguration,
  contentHash,
  createCheckpoint,
  encodeEnvelope,
  initialConfigurationState,
  isCheckpointDue,
  parseEnvelope,
  skipTrimmed,
  verdictFailure,
} from "./internal.js";
export type {
  Applied,
  Checkpoint,
  Configuration,
  ConfigurationState,
  LogRecord,
  Publication,
  Verdict,
} from "./internal.js";

// Calls that run at most once: claims through the log.
export {
  answerAboutAttempt,
  checkKeyAge,
  ClaimCoordinator,
  claimStream,
  ClaimTable,
  decodeClaimBatch,
  encodeClaimBatch,
  parseIdempotencyKey,
} from "./internal.js";
export type {
  AttemptAnswer,
  AttemptKeeper,
  ClaimEffect,
  ClaimRequest,
  ClaimStatus,
  CoordinatorSettings,
} from "./internal.js";
