/**
 * Parses and encodes records of the configuration stream. The envelope never
 * changes: every release reads exactly these fields and ignores others, so that
 * all releases agree on which publication came first. A change of the content
 * format gets a new `formatVersion` instead.
 */
import { Left, Right, type Either } from "purify-ts";
import * as z from "zod";
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

const NOT_BASELINE_REASON =
  "formatVersion: a publication without a base must use the baseline format";

/** Left: the reason why the record can't be parsed. */
export function parseEnvelope(
  data: Uint8Array,
): Either<string, Publication | Checkpoint> {
  const parsed = envelopeSchema.safeParse(parseJson(data));
  if (parsed.success) {
    return isFirstOfNewerFormat(parsed.data)
      ? Left(NOT_BASELINE_REASON)
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
 * Whether a publication without a base uses a newer format. A reader without
 * history starts from such a publication; in a newer format it would leave
 * older releases without any configuration.
 */
function isFirstOfNewerFormat(record: Publication | Checkpoint): boolean {
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
