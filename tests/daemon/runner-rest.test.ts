import * as assert from "uvu/assert";
import { RunnerRest } from "../../src/daemon/agent/runner-rest.js";
import { RunnerClient } from "../../src/daemon/agent/runner-client.js";
import type { EventNumber } from "../../src/internal.js";
import { startEngine } from "../../standins/engine.js";
import { createCall } from "../support/call.js";
import { describe, it } from "../support/describe.js";

const CALL = createCall({
  method: "POST",
  path: "/v1/completions",
  body: Buffer.from("{}"),
});

class Fixture {
  nowMs = 0;
  readonly events: EventNumber[] = [];
  readonly rest = RunnerRest.create({
    now: () => this.nowMs,
    emit: (number) => {
      this.events.push(number);
    },
    runner: "r0",
  });
}

describe("rest that an agent's backend server asks for", () => {
  it("lasts for the longest time that was asked for", () => {
    // Guards against a short rest that ends a long one.
    const { rest, ...fixture } = new Fixture();
    rest.onAnswer(503, "3");
    rest.onAnswer(503, "0.5");
    rest.onAnswer(200, "60");
    assert.is(rest.leftMs, 3000);
    assert.equal(fixture.events, [262]);
  });

  it("isn't asked for by a value that can't be read", () => {
    // Guards against a backend server that is left idle by a bad value.
    const { rest, ...fixture } = new Fixture();
    for (const value of ["", "-1", "soon", "3, 5"]) rest.onAnswer(503, value);
    assert.is(rest.leftMs, 0);
    assert.equal(fixture.events, [264, 264, 264, 264]);
  });

  it("ends when nothing listens at the address any more", () => {
    // Guards against a restarted backend server that is left idle.
    const { rest, ...fixture } = new Fixture();
    rest.onAnswer(503, "60");
    rest.onUnreachable();
    assert.is(rest.leftMs, 0);
    assert.equal(fixture.events, [262, 265]);
  });

  it("is read from the refusal of a run", async () => {
    const { rest } = new Fixture();
    await using engine = await startEngine({ stepMs: 1 });
    await using client = RunnerClient.create(engine.address, "model", rest);
    engine.rest.begin(2);
    const sink = { head: () => undefined, piece: () => undefined };
    const run = { run: "run-1", call: CALL, deadlineMs: 1000 };
    try {
      await client.start(run, sink, new AbortController().signal);
      assert.unreachable("the run was refused");
    } catch {
      assert.is(rest.leftMs, 2000);
    }
  });
});
