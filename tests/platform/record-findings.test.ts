import * as assert from "uvu/assert";
import {
  MOST_REMEMBERED,
  RecordFindings,
} from "../../src/platform/record-findings.js";
import { describe, it } from "../support/describe.js";

class Told {
  lines = 0;
  counted = 0;
  readonly findings = RecordFindings.create({
    emit: () => {
      this.lines += 1;
    },
    measurements: {
      count: (_key, labels) => {
        assert.equal(labels, { topic: "things" });
        this.counted += 1;
      },
      set: () => undefined,
      observe: () => undefined,
    },
  });

  note(key: string, content = "?"): void {
    this.findings.note({
      stream: "things",
      key,
      content: Buffer.from(content),
      reason: "odd",
    });
  }
}

describe("findings on records", () => {
  it("are told and counted once for each key and content", () => {
    const told = new Told();
    for (const key of ["a", "a", "b"]) told.note(key);
    told.note("a", "other");
    told.note("a");
    assert.equal([told.lines, told.counted], [3, 3]);
  });

  it("are kept apart where key and content run together", () => {
    const told = new Told();
    told.note("a", "bc");
    told.note("ab", "c");
    assert.is(told.lines, 2);
  });

  it("are remembered in a bounded number, the last seen longest", () => {
    // Somebody writes ever new records. What is remembered of them must not
    // grow with that, and one that stays in the topic isn't told anew for it.
    const told = new Told();
    told.note("stays");
    for (let at = 0; at < 2 * MOST_REMEMBERED; at += 1) {
      told.note(`passing ${at}`);
      told.note("stays");
    }
    assert.is(told.lines, 2 * MOST_REMEMBERED + 1);
    told.note("passing 0");
    assert.is(told.lines, 2 * MOST_REMEMBERED + 2);
  });
});
