/** Encodes and decodes claim batches as log records. */
import * as z from "zod";
import type { ClaimBatch } from "./types.js";

const shortText = z.string().min(1).max(200);
const claimIdentity = {
  account: shortText,
  key: shortText,
  generation: z.int().min(1),
};

const claimSchema = z.object({
  kind: z.literal("claim"),
  ...claimIdentity,
  attempt: shortText,
  entry: shortText,
  entryIncarnation: shortText,
  agent: shortText,
  agentIncarnation: shortText,
});

const releaseSchema = z.object({
  kind: z.literal("release"),
  ...claimIdentity,
  attempt: shortText,
  proof: z.enum(["tombstone", "refused", "not-dispatched"]),
});

const closeSchema = z.object({
  kind: z.literal("close"),
  ...claimIdentity,
  attempt: shortText,
});

const entrySchema = z.discriminatedUnion("kind", [
  claimSchema,
  releaseSchema,
  closeSchema,
]);

const batchSchema = z.object({
  kind: z.literal("claims"),
  nonce: shortText,
  entries: z.array(entrySchema),
});

/** Undefined for a record that isn't a claim batch; readers skip it. */
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
