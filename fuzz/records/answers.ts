/** Responses of other programs, each read by its own decoder. */
import fc from "fast-check";
import { headerCodec } from "../../platform/headers.js";
import { headerNames } from "../../platform/names.js";
import {
  decodeCounts,
  decodeExperts,
  decodeReport,
} from "../../platform/runner.js";
import { decodeLeaseAssignment } from "../../platform/lease-service.js";
import {
  decodeChangesPage,
  decodeNewestPage,
} from "../../platform/store-pages.js";
import { parseJson, findUntypedErrors } from "./oracle.js";

export interface AnswerStep {
  readonly kind: "answer";
  readonly status: number;
  readonly value: unknown;
  /** Body bytes that replace the JSON of `value`. */
  readonly bytes: readonly number[] | undefined;
  readonly headers: Readonly<Record<string, string>>;
}

const LEASE_ROW = ["seats", 0, 0];

const numericValue = fc.oneof(
  fc.nat({ max: 5 }),
  fc.constantFrom("1", null, -1),
);
const rows = fc.array(
  fc.oneof(
    fc.constant(LEASE_ROW),
    fc.tuple(fc.constantFrom("seats", "x"), numericValue, numericValue),
    fc.jsonValue({ maxDepth: 1 }),
  ),
  { maxLength: 4 },
);
const group = fc.record(
  {
    name: fc.constantFrom("g", 1),
    epoch: numericValue,
    rank: numericValue,
    state: numericValue,
  },
  { requiredKeys: [] },
);

/** Fields of all kinds of responses, with valid and invalid values. */
const answerValue = fc.record(
  {
    generation: numericValue,
    parts: rows,
    group,
    size: numericValue,
    step: numericValue,
    mapping: fc.oneof(numericValue, fc.constant({ experts: [[1]] })),
    held: numericValue,
    pace: numericValue,
    epoch: numericValue,
    counts: fc.array(numericValue, { maxLength: 3 }),
    entries: fc.array(fc.jsonValue({ maxDepth: 1 }), { maxLength: 3 }),
    has_more: fc.constantFrom(true, false, "no"),
    end_offset: numericValue,
  },
  { requiredKeys: [] },
);

export const answerStep: fc.Arbitrary<AnswerStep> = fc.record({
  kind: fc.constant("answer" as const),
  status: fc.constantFrom(200, 202, 404, 409, 503),
  value: fc.oneof(answerValue, fc.jsonValue()),
  bytes: fc.option(
    fc.array(fc.integer({ min: 0, max: 255 }), { maxLength: 40 }),
    { nil: undefined },
  ),
  headers: fc.dictionary(
    fc.constantFrom(...Object.values(headerNames)),
    fc.string({ maxLength: 12 }),
    { maxKeys: 4 },
  ),
});

export function checkAnswer(answer: AnswerStep): readonly string[] {
  const { status, value, bytes, headers } = answer;
  const body = Buffer.from(bytes ?? JSON.stringify(value));
  const report = { status, value };
  return [
    ...findUntypedErrors(() => decodeReport(report)),
    ...findUntypedErrors(() => decodeCounts(report)),
    ...findUntypedErrors(() => decodeExperts(report)),
    ...findUntypedErrors(() => decodeChangesPage(body)),
    ...findUntypedErrors(() => decodeNewestPage(body)),
    ...findUntypedErrors(() => headerCodec.readAnswer(status, headers)),
    ...checkLeaseAssignment(body),
    ...checkRequestHeaders(headers),
  ];
}

/** A lease is held only if the row that names it is present. */
function checkLeaseAssignment(body: Buffer): readonly string[] {
  const mismatches: string[] = [];
  const parts = parseJson(body)?.parts;
  const leaseRows: readonly unknown[] = Array.isArray(parts) ? parts : [];
  const hasLeaseRow = leaseRows.some(
    (row) => Array.isArray(row) && row[0] === "seats" && row[1] === 0,
  );
  const untypedErrors = findUntypedErrors(() => {
    const { isHolder } = decodeLeaseAssignment(body);
    if (isHolder !== hasLeaseRow)
      mismatches.push("a lease that doesn't match its row");
  });
  return [...untypedErrors, ...mismatches];
}

/** Numeric request headers never decode to NaN. */
function checkRequestHeaders(
  headers: Readonly<Record<string, string>>,
): readonly string[] {
  const mismatches: string[] = [];
  const untypedErrors = findUntypedErrors(() => {
    const call = headerCodec.readCall(headers);
    const { promptTokens, outputTokens, lastEventId, deadlineMs = 0 } = call;
    const numbers = [promptTokens, outputTokens, lastEventId, deadlineMs];
    if (numbers.some(Number.isNaN))
      mismatches.push("a numeric header decoded to NaN");
  });
  return [...untypedErrors, ...mismatches];
}
