/**
 * Reads and writes records of the configuration stream. The envelope is frozen:
 * every release reads these fields and passes over others, so that all of them
 * agree on which publication came first. A change of content takes a new
 * `formatVersion` instead.
 */
import { Left, Right, type Either } from "purify-ts";
import { z } from "zod";
import { BASELINE_FORMAT } from "./formats.js";
import type { Checkpoint, Publication } from "./types.js";

const offset = z.int().min(0);
const shortText = z.string().min(1).max(200);
const formatVersion = z.int().min(1);

const publicationSchema = z.object({
  kind: z.literal("publication"),
  basedOn: offset.nullable(),
  seenThrough: offset.default(0),
  formatVersion,
  nonce: shortText,
  author: shortText,
  configuration: z.unknown(),
});

const checkpointSchema = z.object({
  kind: z.literal("checkpoint"),
  asOf: z.int().min(-1),
  head: z.object({ version: offset, nonce: shortText }).nullable(),
  lastPublication: offset.nullable(),
  contents: z.array(
    z.object({
      version: offset,
      formatVersion,
      nonce: shortText,
      author: shortText,
      configuration: z.unknown(),
    }),
  ),
});

const envelopeSchema = z.discriminatedUnion("kind", [
  publicationSchema,
  checkpointSchema,
]);

const FIRST_FORMAT_REASON =
  "formatVersion: a publication without a base is of the baseline format";

/** Left: why the record can't be read. */
export function parseEnvelope(
  data: Uint8Array,
): Either<string, Publication | Checkpoint> {
  const parsed = envelopeSchema.safeParse(parseJson(data));
  if (parsed.success) {
    return isMisplaced(parsed.data)
      ? Left(FIRST_FORMAT_REASON)
      : Right(parsed.data);
  }
  const issue = parsed.error.issues.at(0);
  const path = issue?.path.map(String).join(".") ?? "";
  return Left(`${path}: ${issue?.message ?? "unreadable"}`);
}

export function encodeEnvelope(record: Publication | Checkpoint): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(record));
}

/**
 * A reader that lost everything starts from a publication without a base. Were
 * it of a newer format, an older release would be left without any content.
 */
function isMisplaced(record: Publication | Checkpoint): boolean {
  if (record.kind === "checkpoint" || record.basedOn !== null) return false;
  return record.formatVersion !== BASELINE_FORMAT;
}

function parseJson(data: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(data));
  } catch {
    return undefined;
  }
}
