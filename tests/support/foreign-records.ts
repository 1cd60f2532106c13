/** Records of a register that name no runner to use, one of each kind. */

/** A registration with every field in order. */
export type Registration = Readonly<Record<string, unknown>>;

export interface ForeignRecord {
  readonly kind: string;
  readonly key: string;
  readonly value: Buffer;
}

const LONGEST_KEY = 255;

const otherTypes: Registration = {
  backend: 7,
  address: ["10.0.0.1:80"],
  zone: null,
  version: { major: 1 },
  slots: "8",
  state: true,
  cold_left_ms: "0",
  sequence: "12",
};

const addresses = [
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

function json(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function without(good: Registration, field: string): Registration {
  return Object.fromEntries(
    Object.entries(good).filter(([name]) => name !== field),
  );
}

/** Each under a key of its own; `good` is what they differ from. */
export function foreignRecords(good: Registration): readonly ForeignRecord[] {
  const whole = json(good);
  const values: readonly (readonly [kind: string, value: Buffer])[] = [
    ["bytes that are no text", Buffer.from([0xff, 0x00, 0x80, 0xfe])],
    ["one byte", Buffer.from([0])],
    ["text that is no JSON", Buffer.from("{")],
    ["JSON that is cut", whole.subarray(0, -1)],
    ["no valid text inside of JSON", replaceZone(good)],
    ["a list", json([good])],
    ["null", json(null)],
    ["a number", json(17)],
    ["no field at all", json({})],
    ["an unknown state", json({ ...good, state: "resting" })],
    ["another case of a state", json({ ...good, state: "Ready" })],
    ["no slot", json({ ...good, slots: 0 })],
    ["fewer than no slots", json({ ...good, slots: -4 })],
    ["half a slot", json({ ...good, slots: 0.5 })],
    ["half a heartbeat", json({ ...good, sequence: 1.5 })],
    ...Object.keys(otherTypes).map(
      (field) => [`no ${field}`, json(without(good, field))] as const,
    ),
    ...Object.entries(otherTypes).map(
      ([field, value]) =>
        [
          `another type of ${field}`,
          json({ ...good, [field]: value }),
        ] as const,
    ),
    ...addresses.map(
      (address) =>
        [
          `address ${JSON.stringify(address)}`,
          json({ ...good, address }),
        ] as const,
    ),
  ];
  return [
    ...values.map(([kind, value], at) => ({ kind, key: `f${at}`, value })),
    { kind: "an empty key", key: "", value: whole },
    { kind: "a huge key", key: "k".repeat(LONGEST_KEY), value: whole },
    { kind: "a key of two lines", key: "r1\r\nx: y", value: whole },
    { kind: "a key with blanks", key: "r 1", value: whole },
  ];
}

function replaceZone(good: Registration): Buffer {
  const text = JSON.stringify({ ...good, zone: "?zone?" });
  const bytes = Buffer.from(text);
  bytes[bytes.indexOf("?zone?")] = 0xff;
  return bytes;
}
