/** Settings of the limits for what clients send, on both paths. */
import * as z from "zod";

export const requestMemoryShare = z
  .number()
  .min(0.01)
  .max(0.5)
  .default(0.15)
  .describe(
    "Share of the memory that callers' requests may take together; more are refused, large ones first. A single request of the allowed size is always taken.",
  );
