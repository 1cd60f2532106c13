import * as assert from "uvu/assert";
import { topics } from "../../platform/names.js";
import {
  answerWith,
  refuseAsFull,
  type Behaviour,
} from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import { EntrySite } from "./entry-site.js";

const CALLS = 60;
/** Refusals that open the breaker, and as many trials as fit into the test. */
const MOST_REFUSED = 12;

describe("a group that refuses beside one that is well", () => {
  it("gets next to no request, and no caller is refused for it", async () => {
    // Each request that is sent into the broken group loses one of its attempts
    // and takes one of the service's repeats.
    let refused = 0;
    const refuse: Behaviour = async (exchange) => {
      refused += 1;
      await refuseAsFull(exchange);
    };
    const whole = answerWith("whole");
    await using site = await EntrySite.create();
    site.configure({});
    for (const behave of [refuse, refuse, whole, whole]) {
      await site.addRunner(behave);
    }
    const addresses = site.runners.map(({ address }) => address);
    const groups = [addresses.slice(0, 2), addresses.slice(2)];
    groups.forEach((members, at) => {
      const note = { service: "service", epoch: 1, addresses: members };
      site.store.put(topics.groups, `service.${at}`, note);
    });
    await site.until(async () => (await site.readiness()) === 200);
    await site.until(() => site.entry.runnerCount === 4);
    await site.until(
      async () => (await site.gauge("apricotdeck_runner_groups")) === 2,
    );
    const statuses: number[] = [];
    for (let call = 0; call < CALLS; call += 1) {
      const { status } = await site.call({ path: "/often/a" });
      statuses.push(status);
    }
    assert.equal(statuses, Array(CALLS).fill(200));
    assert.ok(refused <= MOST_REFUSED, String(refused));
  });
});
