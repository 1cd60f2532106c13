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
/**
 * Refusals that open the circuit breaker, plus as many probes as fit into the
 * test.
 */
const MAXIMUM_REFUSED = 12;

describe("a group that refuses everything next to a healthy one", () => {
  it("gets hardly any requests, and every caller is answered", async () => {
    // Each request that is sent to the failing group costs one of its attempts
    // and one retry of the service's retry budget.
    let refused = 0;
    const refuse: Behaviour = async (exchange) => {
      refused += 1;
      await refuseAsFull(exchange);
    };
    const succeed = answerWith("ok");
    await using site = await EntrySite.create();
    site.configure({});
    for (const behave of [refuse, refuse, succeed, succeed]) {
      await site.addRunner(behave);
    }
    const addresses = site.runners.map(({ address }) => address);
    const groups = [addresses.slice(0, 2), addresses.slice(2)];
    groups.forEach((members, index) => {
      const note = { service: "service", epoch: 1, addresses: members };
      site.store.put(topics.groups, `service.${index}`, note);
    });
    await site.waitUntil(async () => (await site.readiness()) === 200);
    await site.waitUntil(() => site.entry.runnerCount === 4);
    await site.waitUntil(
      async () => (await site.gauge("apricotdeck_runner_groups")) === 2,
    );
    const statuses: number[] = [];
    for (let call = 0; call < CALLS; call += 1) {
      const { status } = await site.call({ path: "/often/a" });
      statuses.push(status);
    }
    assert.equal(statuses, Array(CALLS).fill(200));
    assert.ok(refused <= MAXIMUM_REFUSED, String(refused));
  });
});
