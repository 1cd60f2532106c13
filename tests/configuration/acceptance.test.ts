import { Right } from "purify-ts";
import * as assert from "uvu/assert";
import {
  acceptanceRules,
  adoptSnapshot,
  applyRecord,
  applyRecords,
  createCheckpoint,
  validateConfiguration,
  initialConfigurationState,
  skipTrimmed,
  type AcceptanceRules,
  type ApplyResult,
  type Checkpoint,
  type LogRecord,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";
import { publication, recordAt, weighted } from "./support.js";

/**
 * Rules of a release with one more format, whose validation accepts anything.
 */
const newerRelease: AcceptanceRules = {
  ...acceptanceRules,
  formats: new Map([
    ...acceptanceRules.formats,
    [2, () => Right(validateConfiguration(weighted(0.1)).unsafeCoerce())],
  ]),
};

function read(
  records: readonly LogRecord[],
  rules = acceptanceRules,
): ApplyResult {
  return applyRecords(initialConfigurationState, records, rules);
}

function verdictKinds({ verdicts }: ApplyResult): readonly string[] {
  return verdicts.map(({ kind }) => kind);
}

const first = recordAt(0, publication({ nonce: "a" }));

function checkpointAfter(records: readonly LogRecord[]): Checkpoint {
  const checkpoint = createCheckpoint(read(records).state);
  assert.ok(checkpoint);
  return checkpoint;
}

describe("acceptance of publications", () => {
  it("puts a valid one based on the latest version in force", () => {
    const second = publication({ nonce: "b", basedOn: 0 });
    const { state } = read([first, recordAt(1, second)]);
    assert.is(state.inForce?.version, 1);
  });

  describe("when two operators publish from the same version", () => {
    // Both publish from version 0 and both appends succeed. Log order decides:
    // the first is put in force everywhere, and the second operator's error
    // names the version that came first.
    it("accepts the first and reports the second as superseded", () => {
      const records = [
        first,
        recordAt(1, publication({ nonce: "b", basedOn: 0 })),
        recordAt(2, publication({ nonce: "c", basedOn: 0 })),
      ];
      const { state, verdicts } = read(records);
      assert.is(state.inForce?.version, 1);
      const verdict = verdicts.at(-1);
      const publicationFields = { offset: 2, nonce: "c", author: "operator" };
      const expected = { kind: "superseded", basedOn: 0, latest: 1 };
      assert.equal(verdict, { ...publicationFields, ...expected });
    });
  });

  describe("when the answer of an append is lost and it is repeated", () => {
    // The operator's tool sees a timeout although the record was stored, and
    // appends it again. The repeat must not be accepted, also if another
    // operator published in between: it would revert that publication.
    it("counts the repeat as a duplicate", () => {
      const again = recordAt(1, publication({ nonce: "a" }));
      const applied = read([first, again]);
      assert.equal(verdictKinds(applied), ["accepted", "duplicate"]);
      assert.is(applied.state.inForce?.version, 0);
    });

    it("does not let the repeat revert a later version", () => {
      const records = [
        first,
        recordAt(1, publication({ nonce: "b", basedOn: 0 })),
        recordAt(2, publication({ nonce: "a" })),
      ];
      assert.is(read(records).state.inForce?.version, 1);
    });
  });

  it("keeps the older content in force after an invalid publication", () => {
    const invalid = publication({ basedOn: 0, configuration: { groups: 1 } });
    const later = publication({ basedOn: 0, nonce: "c" });
    const applied = read([first, recordAt(1, invalid), recordAt(2, later)]);
    assert.equal(verdictKinds(applied), ["accepted", "invalid", "accepted"]);
  });

  it("skips unreadable records", () => {
    const unreadable = {
      offset: 1,
      appendedAtMs: 1,
      data: new Uint8Array([123]),
    };
    const applied = read([first, unreadable]);
    assert.equal(verdictKinds(applied), ["accepted", "unreadable"]);
  });

  it("applies no record twice", () => {
    const { state } = read([first]);
    assert.equal(applyRecord(state, first), { state, verdicts: [] });
  });
});

describe("different releases that read the same log", () => {
  const newer = recordAt(
    1,
    publication({ nonce: "b", basedOn: 0, formatVersion: 2 }),
  );

  // An upgraded tool publishes a format that some processes don't know. These
  // keep the older content in force and report it; they must still detect that
  // a later publication based on the older version is superseded.
  it("reach the same verdicts after a format that one doesn't understand", () => {
    const late = recordAt(2, publication({ nonce: "c", basedOn: 0 }));
    const next = recordAt(3, publication({ nonce: "d", basedOn: 1 }));
    const older = read([first, newer, late]);
    assert.equal(verdictKinds(older), [
      "accepted",
      "not-understood",
      "superseded",
    ]);
    assert.is(older.state.inForce?.version, 0);
    assert.is(older.state.notUnderstood?.version, 1);
    const upgraded = read([first, newer, late], newerRelease);
    assert.equal(verdictKinds(upgraded), [
      "accepted",
      "accepted",
      "superseded",
    ]);
    assert.is(applyRecord(older.state, next).state.inForce?.version, 3);
    assert.is(applyRecord(older.state, next).state.notUnderstood, null);
  });

  it("pass content that they don't understand on in checkpoints", () => {
    const checkpoint = checkpointAfter([first, newer]);
    const start = skipTrimmed(initialConfigurationState, 5);
    const laterCheckpoint = { ...checkpoint, asOf: 4 };
    const record = recordAt(5, laterCheckpoint);
    assert.is(applyRecord(start, record).state.inForce?.version, 0);
    const upgraded = applyRecord(start, record, newerRelease);
    assert.is(upgraded.state.inForce?.version, 1);
  });
});

describe("a reader that is missing trimmed records", () => {
  const second = recordAt(1, publication({ nonce: "b", basedOn: 0 }));
  const third = recordAt(2, publication({ nonce: "c", basedOn: 1 }));

  it("starts from a checkpoint and decides the records before it", () => {
    const checkpoint = checkpointAfter([first, second]);
    const start = skipTrimmed(initialConfigurationState, 2);
    const waiting = applyRecord(start, third);
    assert.equal(waiting.verdicts, []);
    assert.is(waiting.state.inForce, null);
    const applied = applyRecord(waiting.state, recordAt(3, checkpoint));
    assert.equal(verdictKinds(applied), ["accepted"]);
    assert.is(applied.state.inForce?.version, 2);
  });

  // A writer pauses before it appends a checkpoint as of version 0. Meanwhile
  // versions 1 and 2 are accepted and the log trims version 1. A reader that
  // started from the checkpoint would compare version 2 with the wrong base.
  it("does not start from a late checkpoint that leaves a gap", () => {
    const stale = checkpointAfter([first]);
    const start = skipTrimmed(initialConfigurationState, 2);
    const waiting = applyRecords(start, [third, recordAt(3, stale)]);
    assert.is(waiting.state.inForce, null);
    assert.is(createCheckpoint(waiting.state), undefined);
  });

  it("keeps its configuration and continues from a checkpoint", () => {
    const paused = skipTrimmed(read([first]).state, 2);
    assert.is(paused.inForce?.version, 0);
    const checkpoint = checkpointAfter([first, second, third]);
    const applied = applyRecord(paused, recordAt(3, checkpoint));
    assert.is(applied.state.inForce?.version, 2);
  });

  it("accepts a publication without a base by an up-to-date author", () => {
    const start = skipTrimmed(initialConfigurationState, 9);
    const anew = publication({ nonce: "n", seenThrough: 9 });
    const records = [recordAt(9, anew), recordAt(10, anew)];
    const applied = applyRecords(start, records);
    assert.equal(verdictKinds(applied), ["accepted", "duplicate"]);
  });

  // The accepted version was trimmed before any checkpoint. Readers that know
  // it keep it after the invalid publication; a reader that started from the
  // invalid one would conclude that nothing was ever accepted.
  it("does not start from an invalid publication", () => {
    const start = skipTrimmed(initialConfigurationState, 9);
    const broken = publication({ seenThrough: 9, configuration: 1 });
    const { state, verdicts } = applyRecord(start, recordAt(9, broken));
    assert.equal(verdicts, []);
    assert.is(state.chain.kind, "unknown");
  });
});

describe("a snapshot of a peer", () => {
  const second = recordAt(1, publication({ nonce: "b", basedOn: 0 }));

  // The log is down while a process starts: it uses the snapshot of a peer, and
  // applies the records after it once the log is available again.
  it("lets a process start while the log is down", () => {
    const snapshot = checkpointAfter([first]);
    const { state } = adoptSnapshot(initialConfigurationState, snapshot, 0);
    assert.is(state.inForce?.version, 0);
    assert.is(applyRecord(state, second).state.inForce?.version, 1);
  });

  it("is ignored when it is older than the state", () => {
    const { state } = read([first, second]);
    const behind = checkpointAfter([first]);
    assert.is(adoptSnapshot(state, behind, 0).state, state);
  });

  it("is ignored when the log has trimmed the records after it", () => {
    const snapshot = checkpointAfter([first]);
    const start = skipTrimmed(initialConfigurationState, 5);
    assert.is(adoptSnapshot(start, snapshot, 5).state.inForce, null);
  });
});

describe("a checkpoint that contradicts the log", () => {
  it("is reported and ignored", () => {
    const wrong = { ...checkpointAfter([first]), head: null };
    const applied = read([first, recordAt(1, wrong)]);
    assert.equal(verdictKinds(applied), ["accepted", "checkpoint-disagrees"]);
    assert.is(applied.state.inForce?.version, 0);
  });
});
