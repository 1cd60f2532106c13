import * as assert from "uvu/assert";
import { topics } from "../../platform/names.js";
import { answerWith } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { EntrySite } from "./entry-site.js";

/**
 * After the store's return, ms: a VM that reaches the store again for so long
 * has to know who has left.
 */
const KNOWN_AFTER_MS = 3000;
const CALLS = 12;

describe("a runner that left while the store couldn't be reached", () => {
  it("gets nothing more, though nothing is written after the return", async () => {
    // An entry is cut off from the store. A runner leaves meanwhile, and the
    // entry finds it missing after the outage, as if it had lapsed: it is kept
    // for a while, in which a living one registers again. The end of that while
    // was looked for only when a record came, and the other runners live on and
    // have nothing to write: callers' requests went to the one that has left
    // for good. Evidence: event 219 for it and no 212 after, with a register
    // that had got 29 records in 27 s and none from then on.
    await using site = await EntrySite.serving(
      answerWith("gone"),
      answerWith("here"),
    );
    await site.loseStore();
    site.store.drop(topics.register, "r0");
    site.store.forgetHistory(topics.register);
    site.store.mood = "well";
    await new Promise((resolve) => {
      setTimeout(resolve, KNOWN_AFTER_MS);
    });
    for (let call = 0; call < CALLS; call += 1) {
      assert.is((await site.call({ path: "/often/a" })).body, "here");
    }
  });
});
