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

export const openRequestsPerConnection = z
  .int()
  .min(1)
  .default(64)
  .describe(
    "Requests of one caller's connection that may await their answers; with more, the connection is closed.",
  );

export const descriptors = z
  .int()
  .min(64)
  .optional()
  .describe(
    "Descriptors that the process may open; without it, its limit in the operating system counts. Connections of clients get what its own don't need, and at least half.",
  );

export const memoryMb = z
  .number()
  .min(32)
  .optional()
  .describe("Memory of the process, MB; without it, the heap limit counts.");

export const peerInputShare = z
  .number()
  .min(0.01)
  .max(0.5)
  .default(0.15)
  .describe(
    "Share of the memory that incomplete messages of other daemons may take together; beyond it, the connection with the most of them is closed.",
  );

export const peerMessageBytes = z
  .int()
  .min(65_536)
  .default(1_048_576)
  .describe("Largest message that is accepted from another agent, in bytes.");
