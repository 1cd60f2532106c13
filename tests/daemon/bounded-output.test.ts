import * as assert from "uvu/assert";
import {
  BoundedOutput,
  MAXIMUM_BUFFERED_BYTES,
} from "../../src/daemon/bounded-output.js";
import { LogRateLimiter } from "../../src/daemon/log-rate-limiter.js";
import { describe, it } from "../support/describe.js";

const LINE = `${"x".repeat(999)}\n`;

describe("bounded output", () => {
  it("uses bounded memory while a reader stalls, and reports how many lines it dropped", () => {
    // Guards against a log collector that stops reading and thereby blocks
    // requests: nothing may wait for the write, and memory must stay bounded.
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
    const lines = 3 * Math.ceil(MAXIMUM_BUFFERED_BYTES / LINE.length);
    for (let line = 0; line < lines; line += 1) output.write(LINE);
    output.flush();
    assert.is(written.length, 1, "one write at a time");
    resume();
    const kept = Math.floor(MAXIMUM_BUFFERED_BYTES / LINE.length);
    assert.is(dropped, lines - kept);
    assert.is(written.at(1)?.length, kept * LINE.length);
    resume();
  });

  it("continues after a failed write", () => {
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

describe("log rate limiter", () => {
  it("limits the lines of a second and counts the omitted ones", () => {
    let nowMs = 0;
    const limiter = LogRateLimiter.create(() => nowMs);
    limiter.startPeriodIfDue();
    let kept = 0;
    for (let line = 0; line < 1000; line += 1) {
      if (limiter.tryAcquire(214, "info")) kept += 1;
    }
    assert.is(kept, 100);
    assert.equal(limiter.startPeriodIfDue(), []);
    nowMs = 1000;
    assert.equal(limiter.startPeriodIfDue(), [[214, 900]]);
    assert.ok(limiter.tryAcquire(214, "info"));
  });

  it("still logs failures when successes exceed their limit", () => {
    const limiter = LogRateLimiter.create(() => 0);
    for (let line = 0; line < 1000; line += 1) limiter.tryAcquire(216, "info");
    assert.ok(limiter.tryAcquire(222, "warn"));
  });
});
