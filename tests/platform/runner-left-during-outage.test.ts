import * as assert from "uvu/assert";
import { topics } from "../../platform/names.js";
import { answerWith } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { EntrySite } from "./entry-site.js";

/**
 * Time after the outage by which an entry has to know which runners have left,
 * ms.
 */
const DETECTION_LIMIT_MS = 3000;
const CALL_COUNT = 12;

describe("a runner that left while the store was unreachable", () => {
  it("gets no requests after the outage, even when no further records are written", async () => {
    // A runner leaves while the entry can't reach the store. After the outage
    // the entry doesn't find its registration and retains it for a grace
    // period, in which a live runner would register again. If the end of that
    // period were checked only when a record arrives, a store without new
    // records would keep requests going to the runner that has left: in one
    // run, event 219 was logged for it and no event 212 followed, after a
    // register that had received 29 records in 27 s received none.
    await using site = await EntrySite.createWithRunners(
      answerWith("gone"),
      answerWith("here"),
    );
    await site.makeStoreUnavailable();
    site.store.appendTombstone(topics.register, "r0");
    site.store.trimHistory(topics.register);
    site.store.availability = "well";
    await new Promise((resolve) => {
      setTimeout(resolve, DETECTION_LIMIT_MS);
    });
    for (let call = 0; call < CALL_COUNT; call += 1) {
      assert.is((await site.call({ path: "/often/a" })).body, "here");
    }
  });
});
