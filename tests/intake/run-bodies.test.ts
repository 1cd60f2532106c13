import * as assert from "uvu/assert";
import { RunBodies } from "../../src/daemon/agent/run-bodies.js";
import {
  ignoreEvents,
  ignoreMeasurements,
  type Call,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";
import { createCall } from "../support/call.js";

const MIB = 1024 * 1024;
const CAPACITY_BYTES = 20 * MIB;

function callOf(bytes: number): Call {
  return createCall({ body: Buffer.alloc(bytes) });
}

describe("bodies of an agent's runs", () => {
  it("are limited together, and small ones are still taken", () => {
    // Guards against an agent that ends because several entries send it large
    // bodies at once, and against small requests that are refused for them.
    const bodies = RunBodies.create({
      capacityBytes: CAPACITY_BYTES,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
    });
    const large = callOf(4 * MIB);
    const first = bodies.hold(large);
    assert.ok(bodies.allows(large));
    bodies.hold(large);
    assert.not.ok(bodies.allows(large));
    assert.ok(bodies.allows(callOf(1000)));
    first[Symbol.dispose]();
    assert.ok(bodies.allows(large));
  });

  it("takes a single one of any size", () => {
    // Guards against a body within the entries' limits that no agent takes.
    const bodies = RunBodies.create({
      capacityBytes: MIB,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
    });
    assert.ok(bodies.allows(callOf(4 * MIB)));
  });
});
