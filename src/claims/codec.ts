/** Claim batches as records of the log. */
import { z } from "zod";
import type { ClaimBatch } from "./types.js";

const text = z.string().min(1).max(200);
const identity = { account: text, key: text, generation: z.int().min(1) };

const claimSchema = z.object({
  kind: z.literal("claim"),
  ...identity,
  attempt: text,
  entry: text,
  entryIncarnation: text,
  agent: text,
  agentIncarnation: text,
});

const releaseSchema = z.object({
  kind: z.literal("release"),
  ...identity,
  attempt: text,
  proof: z.enum(["tombstone", "refused", "not-dispatched"]),
});

const closeSchema = z.object({
  kind: z.literal("close"),
  ...identity,
  attempt: text,
});

const entrySchema = z.discriminatedUnion("kind", [
  claimSchema,
  releaseSchema,
  closeSchema,
]);

const batchSchema = z.object({
  kind: z.literal("claims"),
  nonce: text,
  entries: z.array(entrySchema),
});

/** Nothing for a record that isn't a claim batch; it claims nothing then. */
export function decodeClaimBatch(data: Uint8Array): ClaimBatch | undefined {
  try {
    const json: unknown = JSON.parse(new TextDecoder().decode(data));
    return batchSchema.safeParse(json).data;
  } catch {
    return undefined;
  }
}

export function encodeClaimBatch(batch: ClaimBatch): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(batch));
}
