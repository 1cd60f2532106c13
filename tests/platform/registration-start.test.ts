import * as assert from "uvu/assert";
import { decodeRegistration } from "../../platform/register.js";
import type { IncarnationStart } from "../../src/membership/incarnation.js";
import { describe, it } from "../support/describe.js";

function decodeStart(
  fields: Readonly<Record<string, unknown>>,
): IncarnationStart {
  const value = Buffer.from(
    JSON.stringify({
      backend: "service",
      address: "10.0.0.1:80",
      zone: "here",
      version: "v1",
      slots: 4,
      state: "ready",
      cold_left_ms: 0,
      sequence: 1,
      ...fields,
    }),
  );
  return decodeRegistration({ key: "r1", value }).server?.startedAtMs;
}

describe("a registration", () => {
  it("contains the start time of its runner's incarnation", () => {
    assert.is(decodeStart({ born: 1_790_000_000_123 }), 1_790_000_000_123);
  });

  it("may lack a start time on platforms that don't distinguish incarnations", () => {
    assert.is(decodeStart({}), undefined);
  });

  it("is malformed when the start time isn't an integer", () => {
    for (const born of [1.5, "1790000000123", null, true]) {
      assert.throws(() => decodeStart({ born }));
    }
  });
});
