/**
 * Register records that don't describe a usable runner, one for each way of
 * being malformed.
 */

/** Fields of a valid registration. */
export type Registration = Readonly<Record<string, unknown>>;

export interface MalformedRecord {
  readonly kind: string;
  readonly key: string;
  readonly value: Buffer;
}

const MAXIMUM_KEY_BYTES = 255;

const valuesOfWrongType: Registration = {
  backend: 7,
  address: ["10.0.0.1:80"],
  zone: null,
  version: { major: 1 },
  slots: "8",
  state: true,
  cold_left_ms: "0",
  sequence: "12",
};

const invalidAddresses = [
  "",
  "host",
  "host:",
  "host:0",
  "host:70000",
  "host:8o",
  ":80",
  "ho st:80",
  "10.0.0.1:80/path",
  "name@10.0.0.1:80",
  "10.0.0.999:80",
  "10.0.0.1:80\r\nx: y",
];

function toJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function omitField(valid: Registration, field: string): Registration {
  return Object.fromEntries(
    Object.entries(valid).filter(([name]) => name !== field),
  );
}

/**
 * Returns one unusable record per defect, each under its own key; `valid` is
 * the registration from which they are derived.
 */
export function createMalformedRecords(
  valid: Registration,
): readonly MalformedRecord[] {
  const validValue = toJson(valid);
  const values: readonly (readonly [kind: string, value: Buffer])[] = [
    ["bytes that are not UTF-8", Buffer.from([0xff, 0x00, 0x80, 0xfe])],
    ["one byte", Buffer.from([0])],
    ["text that is not JSON", Buffer.from("{")],
    ["truncated JSON", validValue.subarray(0, -1)],
    ["JSON that contains invalid UTF-8", withInvalidUtf8Zone(valid)],
    ["an array", toJson([valid])],
    ["null", toJson(null)],
    ["a number", toJson(17)],
    ["no fields", toJson({})],
    ["an unknown state", toJson({ ...valid, state: "resting" })],
    ["a state in the wrong case", toJson({ ...valid, state: "Ready" })],
    ["zero slots", toJson({ ...valid, slots: 0 })],
    ["a negative number of slots", toJson({ ...valid, slots: -4 })],
    ["a fractional number of slots", toJson({ ...valid, slots: 0.5 })],
    ["a fractional heartbeat", toJson({ ...valid, sequence: 1.5 })],
    ...Object.keys(valuesOfWrongType).map(
      (field) =>
        [`a missing ${field}`, toJson(omitField(valid, field))] as const,
    ),
    ...Object.entries(valuesOfWrongType).map(
      ([field, value]) =>
        [
          `the wrong type of ${field}`,
          toJson({ ...valid, [field]: value }),
        ] as const,
    ),
    ...invalidAddresses.map(
      (address) =>
        [
          `address ${JSON.stringify(address)}`,
          toJson({ ...valid, address }),
        ] as const,
    ),
  ];
  return [
    ...values.map(([kind, value], index) => ({
      kind,
      key: `f${index}`,
      value,
    })),
    { kind: "an empty key", key: "", value: validValue },
    {
      kind: "a key of maximum length",
      key: "k".repeat(MAXIMUM_KEY_BYTES),
      value: validValue,
    },
    { kind: "a key with a line break", key: "r1\r\nx: y", value: validValue },
    { kind: "a key with a space", key: "r 1", value: validValue },
  ];
}

function withInvalidUtf8Zone(valid: Registration): Buffer {
  const text = JSON.stringify({ ...valid, zone: "?zone?" });
  const bytes = Buffer.from(text);
  bytes[bytes.indexOf("?zone?")] = 0xff;
  return bytes;
}
