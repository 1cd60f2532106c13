import * as assert from "uvu/assert";
import { BoundedOutput, HELD_BYTES } from "../../src/daemon/bounded-output.js";
import { LineBudget } from "../../src/daemon/line-budget.js";
import { describe, it } from "../support/describe.js";

const LINE = `${"x".repeat(999)}\n`;

describe("bounded output", () => {
  it("costs bounded memory while a reader stalls, and tells what is missing", () => {
    // The collector of the logs stops reading. Requests must go on: nothing
    // waits for the write, and memory stays within its bound.
    let resume: () => void = () => undefined;
    const written: Buffer[] = [];
    let dropped = 0;
    const output = BoundedOutput.create({
      writeOut: (bytes, done) => {
        written.push(bytes);
        resume = () => {
          done(null);
        };
      },
      onDropped: (lines) => {
        dropped += lines;
      },
    });
    output.write(LINE);
    output.flush();
    const lines = 3 * Math.ceil(HELD_BYTES / LINE.length);
    for (let line = 0; line < lines; line += 1) output.write(LINE);
    output.flush();
    assert.is(written.length, 1, "one write at a time");
    resume();
    const kept = Math.floor(HELD_BYTES / LINE.length);
    assert.is(dropped, lines - kept);
    assert.is(written.at(1)?.length, kept * LINE.length);
    resume();
  });

  it("goes on after a failed write", () => {
    const written: string[] = [];
    const output = BoundedOutput.create({
      writeOut: (bytes, done) => {
        written.push(bytes.toString());
        done(new Error("broken pipe"));
      },
      onDropped: () => undefined,
    });
    output.write("one\n");
    output.flush();
    output.write("two\n");
    output.flush();
    assert.equal(written, ["one\n", "two\n"]);
  });
});

describe("line budget", () => {
  it("keeps a second's lines within the budget and counts the rest", () => {
    let nowMs = 0;
    const budget = LineBudget.create(() => nowMs);
    budget.turn();
    let kept = 0;
    for (let line = 0; line < 1000; line += 1) {
      if (budget.take(214, "info")) kept += 1;
    }
    assert.is(kept, 100);
    assert.equal(budget.turn(), []);
    nowMs = 1000;
    assert.equal(budget.turn(), [[214, 900]]);
    assert.ok(budget.take(214, "info"));
  });

  it("keeps failures when successes are many", () => {
    const budget = LineBudget.create(() => 0);
    for (let line = 0; line < 1000; line += 1) budget.take(216, "info");
    assert.ok(budget.take(222, "warn"));
  });
});
