import * as assert from "uvu/assert";
import {
  addConservation,
  type Conservation,
  type EventFields,
  NO_REQUESTS,
} from "../../src/internal.js";
import { ConservationLedger, isConserved } from "../../src/session/ledger.js";
import { describe, it } from "../support/describe.js";

function createLedger() {
  const events: [number, EventFields | undefined][] = [];
  const ledger = ConservationLedger.create((number, fields) => {
    events.push([number, fields]);
  });
  return { ledger, events };
}

describe("conservation ledger", () => {
  it("emits nothing while every request is accounted for", () => {
    const { ledger, events } = createLedger();
    for (let count = 0; count < 5; count += 1) ledger.accept();
    for (const outcome of ["answered", "not-run", "unknown"] as const) {
      ledger.finish(outcome);
    }
    ledger.finish("broken-off");
    const figures = ledger.check(1);
    assert.ok(isConserved(figures));
    assert.equal(events, []);
  });

  // Guards against a lost request, neither in flight nor finished. The ledger
  // emits event 104 with its counts.
  it("reports a request that is neither in flight nor final", () => {
    const { ledger, events } = createLedger();
    ledger.accept();
    ledger.check(0);
    assert.is(events.length, 1);
    assert.is(events[0][0], 104);
  });

  it("sums the counts of data centres", () => {
    const figures: Conservation = { ...NO_REQUESTS, accepted: 2, inFlight: 2 };
    const sum = addConservation(figures, { ...figures, answered: 1 });
    const { accepted, answered, inFlight } = sum;
    assert.equal([accepted, answered, inFlight], [4, 1, 4]);
  });
});
