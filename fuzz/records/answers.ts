/** Answers of other programs, each read by a decoder of its own. */
import fc from "fast-check";
import { headerCodec } from "../../platform/headers.js";
import { headerNames } from "../../platform/names.js";
import {
  decodeCounts,
  decodeExperts,
  decodeReport,
} from "../../platform/runner.js";
import { decodeSeat } from "../../platform/seats.js";
import {
  decodeChangesPage,
  decodeNewestPage,
} from "../../platform/store-pages.js";
import { objectOf, untyped } from "./oracle.js";

export interface AnswerStep {
  readonly kind: "answer";
  readonly status: number;
  readonly value: unknown;
  /** What comes in place of the value's JSON. */
  readonly bytes: readonly number[] | undefined;
  readonly headers: Readonly<Record<string, string>>;
}

const SEAT_ROW = ["seats", 0, 0];

const number = fc.oneof(fc.nat({ max: 5 }), fc.constantFrom("1", null, -1));
const rows = fc.array(
  fc.oneof(
    fc.constant(SEAT_ROW),
    fc.tuple(fc.constantFrom("seats", "x"), number, number),
    fc.jsonValue({ maxDepth: 1 }),
  ),
  { maxLength: 4 },
);
const group = fc.record(
  { name: fc.constantFrom("g", 1), epoch: number, rank: number, state: number },
  { requiredKeys: [] },
);

/** Fields of every answer, good and odd ones. */
const answerValue = fc.record(
  {
    generation: number,
    parts: rows,
    group,
    size: number,
    step: number,
    mapping: fc.oneof(number, fc.constant({ experts: [[1]] })),
    held: number,
    pace: number,
    epoch: number,
    counts: fc.array(number, { maxLength: 3 }),
    entries: fc.array(fc.jsonValue({ maxDepth: 1 }), { maxLength: 3 }),
    has_more: fc.constantFrom(true, false, "no"),
    end_offset: number,
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

export function judgeAnswer(answer: AnswerStep): readonly string[] {
  const { status, value, bytes, headers } = answer;
  const body = Buffer.from(bytes ?? JSON.stringify(value));
  const report = { status, value };
  return [
    ...untyped(() => decodeReport(report)),
    ...untyped(() => decodeCounts(report)),
    ...untyped(() => decodeExperts(report)),
    ...untyped(() => decodeChangesPage(body)),
    ...untyped(() => decodeNewestPage(body)),
    ...untyped(() => headerCodec.readAnswer(status, headers)),
    ...judgeSeat(body),
    ...judgeCall(headers),
  ];
}

/** Only the row that names the seat gives it. */
function judgeSeat(body: Buffer): readonly string[] {
  const found: string[] = [];
  const parts = objectOf(body)?.parts;
  const listed: readonly unknown[] = Array.isArray(parts) ? parts : [];
  const isNamed = listed.some(
    (row) => Array.isArray(row) && row[0] === "seats" && row[1] === 0,
  );
  const violations = untyped(() => {
    const { isHolder } = decodeSeat(body);
    if (isHolder !== isNamed) found.push("a seat that its row doesn't give");
  });
  return [...violations, ...found];
}

/** A caller's numbers are numbers, whatever it sends. */
function judgeCall(
  headers: Readonly<Record<string, string>>,
): readonly string[] {
  const found: string[] = [];
  const violations = untyped(() => {
    const call = headerCodec.readCall(headers);
    const { promptTokens, outputTokens, lastEventId, deadlineMs = 0 } = call;
    const numbers = [promptTokens, outputTokens, lastEventId, deadlineMs];
    if (numbers.some(Number.isNaN)) found.push("a header that is no number");
  });
  return [...violations, ...found];
}
