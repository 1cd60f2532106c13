import * as assert from "uvu/assert";
import {
  MAXIMUM_REMEMBERED_FINDINGS,
  RecordFindings,
} from "../../src/platform/record-findings.js";
import { describe, it } from "../support/describe.js";

class ReportedFindings {
  eventCount = 0;
  measuredCount = 0;
  readonly findings = RecordFindings.create({
    emit: () => {
      this.eventCount += 1;
    },
    measurements: {
      count: (_key, labels) => {
        assert.equal(labels, { topic: "things" });
        this.measuredCount += 1;
      },
      set: () => undefined,
      observe: () => undefined,
    },
  });

  note(key: string, content = "?"): void {
    this.findings.report({
      stream: "things",
      key,
      content: Buffer.from(content),
      reason: "odd",
    });
  }
}

describe("findings on unusable records", () => {
  it("are logged and counted once for each key and content", () => {
    const reported = new ReportedFindings();
    for (const key of ["a", "a", "b"]) reported.note(key);
    reported.note("a", "other");
    reported.note("a");
    assert.equal([reported.eventCount, reported.measuredCount], [3, 3]);
  });

  it("are distinct when only the concatenation of key and content is equal", () => {
    const reported = new ReportedFindings();
    reported.note("a", "bc");
    reported.note("ab", "c");
    assert.is(reported.eventCount, 2);
  });

  it("are remembered up to a limit, the least recently seen forgotten first", () => {
    // New unusable records are written without end. Memory must stay bounded,
    // and a record that remains in the topic must not be logged again because
    // of the others.
    const reported = new ReportedFindings();
    reported.note("stays");
    for (let index = 0; index < 2 * MAXIMUM_REMEMBERED_FINDINGS; index += 1) {
      reported.note(`passing ${index}`);
      reported.note("stays");
    }
    assert.is(reported.eventCount, 2 * MAXIMUM_REMEMBERED_FINDINGS + 1);
    reported.note("passing 0");
    assert.is(reported.eventCount, 2 * MAXIMUM_REMEMBERED_FINDINGS + 2);
  });
});
