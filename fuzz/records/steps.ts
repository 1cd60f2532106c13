/** What writers of every kind put into a keyed topic, one record a step. */
import fc from "fast-check";

/** Fields of a record, good ones at first. */
export type Fields = Readonly<Record<string, unknown>>;

export type WriteStep =
  /** A good record, with fields beside those that are needed. */
  | {
      readonly kind: "good";
      readonly key: number;
      readonly fields: Fields;
      readonly beside: Fields;
    }
  /** A good one in which a field is missing or says something else. */
  | {
      readonly kind: "mutated";
      readonly key: number;
      readonly fields: Fields;
      readonly field: string;
      readonly value: unknown;
    }
  /** A good one of which bytes are cut or changed. */
  | {
      readonly kind: "garbled";
      readonly key: number;
      readonly fields: Fields;
      readonly at: number;
      readonly byte: number | undefined;
    }
  | { readonly kind: "json"; readonly key: number; readonly value: unknown }
  | {
      readonly kind: "bytes";
      readonly key: number;
      readonly bytes: readonly number[];
    }
  | { readonly kind: "drop"; readonly key: number }
  /** Bytes without a key of their own framing. */
  | { readonly kind: "unframed"; readonly bytes: readonly number[] };

export type Step =
  | WriteStep
  /** The reader reads so far; the page may hold part of the next record. */
  | { readonly kind: "page"; readonly extraBytes: number };

/** A field's value in a good record, and values that don't fit. */
export interface FieldValues {
  readonly good: fc.Arbitrary<unknown>;
  readonly odd: fc.Arbitrary<unknown>;
}

export type RecordShape = Readonly<Record<string, FieldValues>>;

const byte = fc.integer({ min: 0, max: 255 });
const bytes = fc.array(byte, { maxLength: 24 });

/** A step about records of one shape under one of so many keys. */
export function stepOf(
  shape: RecordShape,
  keyCount: number,
): fc.Arbitrary<Step> {
  const key = fc.nat({ max: keyCount - 1 });
  const names = Object.keys(shape);
  const fields = fc.record(
    Object.fromEntries(names.map((name) => [name, shape[name].good])),
  );
  const some = fc.record(
    Object.fromEntries(
      names.map((name) => [name, fc.oneof(shape[name].good, shape[name].odd)]),
    ),
    { requiredKeys: [] },
  );
  const mutated = fc.constantFrom(...names).chain((field) =>
    fc.record({
      kind: fc.constant("mutated" as const),
      key,
      fields,
      field: fc.constant(field),
      value: fc.oneof(fc.constant(undefined), shape[field].odd),
    }),
  );
  return fc.oneof(
    {
      weight: 5,
      arbitrary: fc.record({
        kind: fc.constant("good" as const),
        key,
        fields,
        beside: fc.dictionary(fc.constantFrom("a", "models"), fc.jsonValue()),
      }),
    },
    { weight: 3, arbitrary: mutated },
    fc.record({
      kind: fc.constant("garbled" as const),
      key,
      fields,
      at: fc.nat({ max: 200 }),
      byte: fc.option(byte, { nil: undefined }),
    }),
    fc.record({
      kind: fc.constant("json" as const),
      key,
      value: fc.oneof(fc.jsonValue(), some),
    }),
    fc.record({ kind: fc.constant("bytes" as const), key, bytes }),
    fc.record({ kind: fc.constant("drop" as const), key }),
    fc.record({ kind: fc.constant("unframed" as const), bytes }),
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("page" as const),
        extraBytes: fc.nat({ max: 40 }),
      }),
    },
  );
}

/** The value that a step writes; undefined for a key that is dropped. */
export function valueOf(
  step: Exclude<WriteStep, { readonly kind: "unframed" }>,
): Buffer | undefined {
  switch (step.kind) {
    case "good":
      return json({ ...step.beside, ...step.fields });
    case "mutated":
      // A value that is undefined is left out of the text.
      return json({ ...step.fields, [step.field]: step.value });
    case "garbled":
      return garble(json(step.fields), step.at, step.byte);
    case "json":
      return json(step.value);
    case "bytes":
      return Buffer.from(step.bytes);
    case "drop":
      return undefined;
  }
}

function garble(value: Buffer, at: number, byte: number | undefined): Buffer {
  const place = at % value.length;
  if (byte === undefined) return value.subarray(0, place);
  value[place] = byte;
  return value;
}

function json(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}
