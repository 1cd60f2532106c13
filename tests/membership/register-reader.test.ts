import * as assert from "uvu/assert";
import { decodeRegistration } from "../../platform/register.js";
import { ignoreMeasurements, type EventFields } from "../../src/internal.js";
import { isHostPort } from "../../src/membership/host-port.js";
import { RegisterReader } from "../../src/membership/register-reader.js";
import type { RegisterChange } from "../../src/membership/types.js";
import type { KeyedRecord } from "../../src/platform/keyed-topic.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { describe, it } from "../support/describe.js";
import { createMalformedRecords } from "../support/malformed-records.js";

const validRecord = {
  backend: "service",
  address: "10.0.0.1:80",
  zone: "here",
  version: "v1",
  slots: 8,
  state: "ready",
  cold_left_ms: 0,
  sequence: 4,
};

function createRecord(key: string, value: unknown): KeyedRecord {
  return { key, value: Buffer.from(JSON.stringify(value)) };
}

class ReaderFixture {
  readonly findings: EventFields[] = [];
  private readonly reader = RegisterReader.create({
    decode: decodeRegistration,
    findings: RecordFindings.create({
      measurements: ignoreMeasurements,
      emit: (number, fields = {}) => {
        assert.is(number, 193);
        this.findings.push(fields);
      },
    }),
  });

  read(...records: readonly KeyedRecord[]): readonly RegisterChange[] {
    return this.reader.read(records);
  }
}

describe("reader of the register", () => {
  it("decodes ready and draining runners and ignores other fields", () => {
    const fixture = new ReaderFixture();
    const models = [{ name: 7 }, "odd"];
    const [ready, leaving, gone] = fixture.read(
      createRecord("i-1", { ...validRecord, phase: 3, models, group: null }),
      createRecord("i-2", { ...validRecord, state: "draining" }),
      { key: "i-3", value: undefined },
    );
    assert.is(ready.server?.isLeaving, false);
    assert.is(leaving.server?.isLeaving, true);
    assert.equal(gone, { id: "i-3", server: undefined });
    assert.equal(fixture.findings, []);
  });

  for (const { kind, key, value } of createMalformedRecords(validRecord)) {
    it(`skips ${kind}, and no other record`, () => {
      const fixture = new ReaderFixture();
      const changes = fixture.read(
        createRecord("i-1", validRecord),
        { key, value },
        createRecord("i-2", validRecord),
      );
      const ids = changes.map(({ server }) => server?.id);
      assert.equal(ids, ["i-1", undefined, "i-2"]);
      assert.is(changes[1].isUnusable, true);
      assert.is(changes[1].id, key);
      assert.is(fixture.findings.length, 1);
    });
  }

  it("reports a record once for each content", () => {
    const fixture = new ReaderFixture();
    const invalid = createRecord("i-1", { ...validRecord, slots: "8" });
    fixture.read(invalid, invalid);
    fixture.read(invalid);
    assert.is(fixture.findings.length, 1);
    fixture.read(createRecord("i-1", { ...validRecord, slots: null }));
    fixture.read(createRecord("i-2", { ...validRecord, slots: "8" }));
    assert.is(fixture.findings.length, 3);
  });

  it("keeps its findings short for long records", () => {
    const fixture = new ReaderFixture();
    fixture.read({
      key: "k".repeat(100_000),
      value: Buffer.from("x".repeat(100_000)),
    });
    const [finding] = fixture.findings;
    assert.ok(JSON.stringify(finding).length < 600);
  });
});

describe("addresses from external sources", () => {
  it("are accepted only as a host:port that can be connected to", () => {
    const valid = ["10.0.0.1:1", "name:65535", "a_b.c-d.e:80", "[::1]:80"];
    const invalid = [
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
      [...valid, ...invalid].filter((text) => isHostPort(text)),
      valid,
    );
  });
});
