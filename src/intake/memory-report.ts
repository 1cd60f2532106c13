/** Tells that a request is refused for the memory it would take. */
import type { Emit, Measurements } from "../internal.js";

export interface MemoryReportOptions {
  readonly emit: Emit;
  readonly measurements: Measurements;
}

/** `bytes`: what the request would hold; `heldBytes`: what all hold. */
export function reportMemoryLimit(
  { emit, measurements }: MemoryReportOptions,
  bytes: number,
  heldBytes: number,
): void {
  const reason = "memory";
  emit(268, { reason, bytes, heldBytes });
  measurements.count("requestsLimited", { reason });
}
