/** Random writes to a keyed topic, one record per step, valid and malformed. */
import fc from "fast-check";

/** Fields of a record by name. */
export type Fields = Readonly<Record<string, unknown>>;

export type WriteStep =
  /** A valid record; `beside` holds additional fields. */
  | {
      readonly kind: "good";
      readonly key: number;
      readonly fields: Fields;
      readonly beside: Fields;
    }
  /** A valid record in which one field is missing or has another value. */
  | {
      readonly kind: "mutated";
      readonly key: number;
      readonly fields: Fields;
      readonly field: string;
      readonly value: unknown;
    }
  /**
   * A valid record with one byte changed, or truncated when `byte` is
   * undefined.
   */
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
  /** A record of arbitrary bytes, without a key prefix. */
  | { readonly kind: "unframed"; readonly bytes: readonly number[] };

export type Step =
  | WriteStep
  /**
   * The reader reads up to here; the page may end with part of the next record.
   */
  | { readonly kind: "page"; readonly extraBytes: number };

/** Values of a field in a valid record, and values that may be invalid. */
export interface FieldValues {
  readonly valid: fc.Arbitrary<unknown>;
  readonly invalid: fc.Arbitrary<unknown>;
}

export type RecordShape = Readonly<Record<string, FieldValues>>;

const byte = fc.integer({ min: 0, max: 255 });
const bytes = fc.array(byte, { maxLength: 24 });

/** Arbitrary of steps for records of one shape under `keyCount` keys. */
export function createStepArbitrary(
  shape: RecordShape,
  keyCount: number,
): fc.Arbitrary<Step> {
  const key = fc.nat({ max: keyCount - 1 });
  const names = Object.keys(shape);
  const fields = fc.record(
    Object.fromEntries(names.map((name) => [name, shape[name].valid])),
  );
  const partlyValidFields = fc.record(
    Object.fromEntries(
      names.map((name) => [
        name,
        fc.oneof(shape[name].valid, shape[name].invalid),
      ]),
    ),
    { requiredKeys: [] },
  );
  const mutated = fc.constantFrom(...names).chain((field) =>
    fc.record({
      kind: fc.constant("mutated" as const),
      key,
      fields,
      field: fc.constant(field),
      value: fc.oneof(fc.constant(undefined), shape[field].invalid),
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
      value: fc.oneof(fc.jsonValue(), partlyValidFields),
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

/** Value that a step writes; undefined for a dropped key. */
export function valueOf(
  step: Exclude<WriteStep, { readonly kind: "unframed" }>,
): Buffer | undefined {
  switch (step.kind) {
    case "good":
      return toJson({ ...step.beside, ...step.fields });
    case "mutated":
      // JSON.stringify omits a field whose value is undefined.
      return toJson({ ...step.fields, [step.field]: step.value });
    case "garbled":
      return corrupt(toJson(step.fields), step.at, step.byte);
    case "json":
      return toJson(step.value);
    case "bytes":
      return Buffer.from(step.bytes);
    case "drop":
      return undefined;
  }
}

function corrupt(value: Buffer, at: number, byte: number | undefined): Buffer {
  const index = at % value.length;
  if (byte === undefined) return value.subarray(0, index);
  value[index] = byte;
  return value;
}

function toJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}
