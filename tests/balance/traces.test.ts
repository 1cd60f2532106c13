import * as assert from "uvu/assert";
import { ApricotdeckError } from "../../src/internal.js";
import { parseTrace, readTrace, toTrace } from "../../measure/traces-file.js";
import { describe, it } from "../support/describe.js";

const GOOD = '{"window":0,"counts":[[1,2],[3,4]]}';

function failureOf(text: string): ApricotdeckError {
  try {
    parseTrace(text);
  } catch (thrown) {
    if (thrown instanceof ApricotdeckError) return thrown;
  }
  throw new TypeError("the trace was accepted");
}

function assertRejected(text: string, line: number, problem: RegExp): void {
  const failure = failureOf(text);
  assert.is(failure.number, 1801);
  assert.is(failure.detail.line, line);
  assert.match(String(failure.detail.problem), problem);
}

describe("a trace file", () => {
  it("is read window by window", () => {
    const parsed = parseTrace(
      `${GOOD}\n\n{"window":3,"counts":[[5,6],[7,8]]}\n`,
    );
    const shape = { ranks: 2, layers: 2, experts: 2, slotsPerRank: 1 };
    const { windows } = toTrace("trace", shape, parsed);
    assert.is(parsed.layers, 2);
    assert.is(parsed.experts, 2);
    assert.equal([...windows[1].tokens], [5, 6, 7, 8]);
    assert.equal([...windows[1].speeds], [1, 1]);
  });

  it("is rejected with the line that isn't JSON", () => {
    assertRejected(`${GOOD}\nnonsense`, 2, /not JSON/);
  });

  it("is rejected with the line and field of a wrong type", () => {
    assertRejected('{"window":0,"counts":[[1,"x"]]}', 1, /counts\.0\.1/);
    assertRejected('{"window":0,"counts":[[1,-1]]}', 1, /counts\.0\.1/);
    assertRejected('{"window":0,"count":[[1]]}', 1, /counts/);
  });

  it("is rejected with the line whose layers or experts differ", () => {
    assertRejected(`${GOOD}\n{"window":1,"counts":[[1,2]]}`, 2, /2 layers/);
    assertRejected(
      `${GOOD}\n{"window":1,"counts":[[1,2],[3]]}`,
      2,
      /2 experts/,
    );
  });

  it("is rejected with the line whose window doesn't increase", () => {
    assertRejected(`${GOOD}\n${GOOD}`, 2, /window 0/);
  });

  it("is rejected when it holds nothing", () => {
    assertRejected("\n", 1, /no windows/);
  });

  it("is rejected when it can't be read", async () => {
    try {
      await readTrace("no-such-file.jsonl");
    } catch (thrown) {
      assert.is(thrown instanceof ApricotdeckError && thrown.number, 1802);
      return;
    }
    throw new TypeError("the file was read");
  });
});
