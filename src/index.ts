/** Public interface of the library: the coordination parts. */
export {
  ApricotdeckError,
  errorTable,
  eventTable,
  HybridClock,
  compareReadings,
  createRandom,
} from "./internal.js";
export type {
  ClockReading,
  Emit,
  ErrorEntry,
  ErrorNumber,
  EventEntry,
  EventFields,
  EventNumber,
  Outcome,
  Random,
} from "./internal.js";
