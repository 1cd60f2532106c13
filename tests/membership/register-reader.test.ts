import * as assert from "uvu/assert";
import { decodeRegistration } from "../../platform/register.js";
import { ignoreMeasurements, type EventFields } from "../../src/internal.js";
import { isHostPort } from "../../src/membership/host-port.js";
import { RegisterReader } from "../../src/membership/register-reader.js";
import type { RegisterChange } from "../../src/membership/types.js";
import type { KeyedRecord } from "../../src/platform/keyed-topic.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { describe, it } from "../support/describe.js";
import { foreignRecords } from "../support/foreign-records.js";

const good = {
  backend: "service",
  address: "10.0.0.1:80",
  zone: "here",
  version: "v1",
  slots: 8,
  state: "ready",
  cold_left_ms: 0,
  sequence: 4,
};

function recordOf(key: string, value: unknown): KeyedRecord {
  return { key, value: Buffer.from(JSON.stringify(value)) };
}

class Reading {
  readonly lines: EventFields[] = [];
  private readonly reader = RegisterReader.create({
    decode: decodeRegistration,
    findings: RecordFindings.create({
      measurements: ignoreMeasurements,
      emit: (number, fields = {}) => {
        assert.is(number, 193);
        this.lines.push(fields);
      },
    }),
  });

  read(...records: readonly KeyedRecord[]): readonly RegisterChange[] {
    return this.reader.read(records);
  }
}

describe("reader of the register", () => {
  it("takes ready and draining runners, whatever else they say", () => {
    const reading = new Reading();
    const models = [{ name: 7 }, "odd"];
    const [ready, leaving, gone] = reading.read(
      recordOf("i-1", { ...good, phase: 3, models, group: null }),
      recordOf("i-2", { ...good, state: "draining" }),
      { key: "i-3", value: undefined },
    );
    assert.is(ready.server?.isLeaving, false);
    assert.is(leaving.server?.isLeaving, true);
    assert.equal(gone, { id: "i-3", server: undefined });
    assert.equal(reading.lines, []);
  });

  for (const { kind, key, value } of foreignRecords(good)) {
    it(`leaves out ${kind}, and nothing beside it`, () => {
      const reading = new Reading();
      const changes = reading.read(
        recordOf("i-1", good),
        { key, value },
        recordOf("i-2", good),
      );
      const ids = changes.map(({ server }) => server?.id);
      assert.equal(ids, ["i-1", undefined, "i-2"]);
      assert.is(changes[1].isUnusable, true);
      assert.is(changes[1].id, key);
      assert.is(reading.lines.length, 1);
    });
  }

  it("tells a record once for each content", () => {
    const reading = new Reading();
    const bad = recordOf("i-1", { ...good, slots: "8" });
    reading.read(bad, bad);
    reading.read(bad);
    assert.is(reading.lines.length, 1);
    reading.read(recordOf("i-1", { ...good, slots: null }));
    reading.read(recordOf("i-2", { ...good, slots: "8" }));
    assert.is(reading.lines.length, 3);
  });

  it("keeps its lines short, however long what it read", () => {
    const reading = new Reading();
    reading.read({
      key: "k".repeat(100_000),
      value: Buffer.from("x".repeat(100_000)),
    });
    const [line] = reading.lines;
    assert.ok(JSON.stringify(line).length < 600);
  });
});

describe("addresses from elsewhere", () => {
  it("are host and port, and can be connected to", () => {
    const usable = ["10.0.0.1:1", "name:65535", "a_b.c-d.e:80", "[::1]:80"];
    const others = [
      "10.0.0.1",
      "10.0.0.1:0",
      "10.0.0.1:65536",
      "10.0.0.1:8e1",
      "10.0.0:80:80",
      "::1:80",
      "[::g]:80",
      "300.1.1.1:80",
      "-a:80",
      " a:80",
      "a:80 ",
      "a:80\n",
      "a/b:80",
      "a?b:80",
      `${"a".repeat(300)}:80`,
    ];
    assert.equal(
      [...usable, ...others].filter((text) => isHostPort(text)),
      usable,
    );
  });
});
