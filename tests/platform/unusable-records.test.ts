import * as assert from "uvu/assert";
import { topics } from "../../platform/names.js";
import { answerWith, SigningRunner } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import {
  createMalformedRecords,
  type Registration,
} from "../support/malformed-records.js";
import { EntrySite } from "./entry-site.js";

/** Starts a working runner at an address that only unusable records name. */
function startDecoy(): Promise<SigningRunner> {
  return SigningRunner.create("decoy", answerWith("from the decoy"));
}

/**
 * Writes one unusable record of each kind, and two with a broken key framing.
 */
function putUnusableRecords(
  site: EntrySite,
  validRegistration: Registration,
): void {
  for (const { key, value } of createMalformedRecords(validRegistration)) {
    site.store.putBytes(topics.register, key, value);
  }
  site.store.putRawRecord(topics.register, Buffer.alloc(0));
  site.store.putRawRecord(topics.register, Buffer.from([9, 0x72]));
}

async function assertServedBy(
  site: EntrySite,
  ids: readonly string[],
): Promise<void> {
  for (let round = 0; round < 12; round += 1) {
    const { status } = await site.call({ path: "/often/a" });
    assert.is(status, 200);
  }
  const served = site.runners.filter(
    ({ receivedRequests }) => receivedRequests.length > 0,
  );
  const names = served.map(({ id }) => id);
  assert.ok(
    names.every((name) => ids.includes(name)),
    names.join(","),
  );
}

describe("register records from other writers", () => {
  it("in the first read leave the other records usable", async () => {
    // Another program has written into the register before the entry starts. If
    // that made the first read fail, the entry would never become ready, and
    // the load balancer in front of it would have no entry to send callers to.
    await using decoy = await startDecoy();
    await using site = await EntrySite.create((store) => {
      const validRegistration = {
        backend: "service",
        address: decoy.address,
        zone: "here",
        version: "v1",
        slots: 4,
        state: "ready",
        cold_left_ms: 0,
        sequence: 1,
      };
      for (const { key, value } of createMalformedRecords(validRegistration)) {
        store.putBytes(topics.register, key, value);
      }
    });
    site.configure({});
    await site.addRunner(answerWith("ok"));
    await site.assertEventually(
      "ready",
      async () => (await site.readiness()) === 200,
    );
    await site.assertEventually(
      "one runner",
      () => site.entry.runnerCount === 1,
    );
    await assertServedBy(site, ["r0"]);
    assert.is(decoy.receivedRequests.length + decoy.misdirected, 0);
    assert.is(await site.outages(), 0);
  });

  it("among changes don't affect other changes, removals included", async () => {
    // One read contains a removal, a registration of a new runner and unusable
    // records before, between and after them. If these made the whole page
    // fail, the entry would send requests to the removed runner and none to the
    // new one, and would retain expired registrations as it does after an
    // outage.
    await using decoy = await startDecoy();
    await using site = await EntrySite.createWithRunners(
      answerWith("ok"),
      answerWith("ok"),
    );
    putUnusableRecords(site, site.nextRegistration(decoy.address));
    site.store.appendTombstone(topics.register, "r0");
    putUnusableRecords(site, site.nextRegistration(decoy.address));
    await site.addRunner(answerWith("ok"));
    putUnusableRecords(site, site.nextRegistration(decoy.address));
    const newRunner = site.runners[2];
    await site.assertEventually("the new runner serves", async () => {
      assert.is((await site.call({ path: "/often/a" })).status, 200);
      return newRunner.receivedRequests.length > 0;
    });
    assert.is(site.entry.runnerCount, 2);
    const before = site.runners[0].receivedRequests.length;
    await assertServedBy(site, ["r0", "r1", "r2"]);
    assert.is(site.runners[0].receivedRequests.length, before);
    assert.is(decoy.receivedRequests.length + decoy.misdirected, 0);
    assert.is(await site.outages(), 0);
  });

  it("remove the runner whose record they overwrite until it registers again", async () => {
    // Another writer overwrites a runner's record. The previous registration
    // may no longer hold, so the runner gets no requests until its next
    // heartbeat.
    await using site = await EntrySite.createWithRunners(
      answerWith("ok"),
      answerWith("ok"),
    );
    const [first] = site.runners;
    const { state, ...stateless } = site.nextRegistration(first.address);
    assert.is(state, "ready");
    site.store.put(topics.register, first.id, stateless);
    await site.assertEventually(
      "one runner",
      () => site.entry.runnerCount === 1,
    );
    const before = first.receivedRequests.length;
    await assertServedBy(site, ["r0", "r1"]);
    assert.is(first.receivedRequests.length, before);
    site.register(first, "ready");
    await site.assertEventually(
      "two runners",
      () => site.entry.runnerCount === 2,
    );
    assert.is(await site.outages(), 0);
  });

  it("remove the runner whose record they overwrite during an outage, too", async () => {
    // Registrations that are removed around an outage are retained for a while,
    // since live runners may expire then. A malformed record that is present
    // hasn't expired.
    await using site = await EntrySite.createWithRunners(
      answerWith("ok"),
      answerWith("ok"),
    );
    await site.makeStoreUnavailable();
    site.store.putBytes(topics.register, "r0", Buffer.from("?"));
    site.store.availability = "well";
    const hasOneRunner = (): boolean => site.entry.runnerCount === 1;
    await site.assertEventually("one runner", hasOneRunner);
  });

  it("remove the runner whose record they overwrite when the register is read from a snapshot", async () => {
    // As above, but the store has discarded its history: the malformed record
    // is found in the snapshot of newest records, along with expired
    // registrations.
    await using site = await EntrySite.createWithRunners(
      answerWith("ok"),
      answerWith("ok"),
    );
    await site.makeStoreUnavailable();
    site.store.putBytes(topics.register, "r0", Buffer.from("?"));
    site.store.appendTombstone(topics.register, "r1");
    site.store.trimHistory(topics.register);
    site.store.availability = "well";
    const hasOneRunner = (): boolean => site.entry.runnerCount === 1;
    await site.assertEventually("one runner", hasOneRunner);
    await assertServedBy(site, ["r1"]);
  });

  describe("of an unknown service", () => {
    it("get no requests", async () => {
      await using decoy = await startDecoy();
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      const registration = {
        ...site.nextRegistration(decoy.address),
        backend: "unheard-of",
      };
      site.store.put(topics.register, "x1", registration);
      await site.assertEventually(
        "the registration is known",
        () => site.entry.runnerCount === 2,
      );
      await assertServedBy(site, ["r0"]);
      assert.is(decoy.receivedRequests.length + decoy.misdirected, 0);
    });

    it("are used once a configuration names the service", async () => {
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      const other = await SigningRunner.create("x1", answerWith("later"));
      site.runners.push(other);
      const registration = {
        ...site.nextRegistration(other.address),
        backend: "service-2",
      };
      site.store.put(topics.register, "x1", registration);
      await site.assertEventually(
        "the registration is known",
        () => site.entry.runnerCount === 2,
      );
      const route = {
        name: "late",
        hostname: "site.example",
        path_prefix: "/late/",
        route_kind: "idempotent",
        timeout_ms: 6000,
        backend: "service-2",
      };
      site.configure({ version: 2, routes: [route] });
      await site.assertEventually("the service is used", async () => {
        const { body } = await site.call({ path: "/late/a" });
        return body === "later";
      });
    });

    it("don't take over the address of a working runner", async () => {
      // A record of an unknown service names the address of a working runner.
      // An address belongs to the runner that registered there last, so the
      // working runner would get no requests until its next heartbeat.
      await using site = await EntrySite.createWithRunners(answerWith("ok"));
      const registration = {
        ...site.nextRegistration(site.runners[0].address),
        backend: "unheard-of",
      };
      site.store.put(topics.register, "x1", registration);
      const countReads = (): number => site.store.calls.get("/-/log-read") ?? 0;
      const before = countReads();
      await site.assertEventually(
        "two more reads",
        () => countReads() >= before + 4,
      );
      await assertServedBy(site, ["r0"]);
    });
  });
});

describe("records of other topics from other writers", () => {
  it("leave valid pace notes on the same page in force", async () => {
    // An unreadable note stands between two others. If the page were discarded,
    // the planner's note of a slow rank would be lost, and requests would go to
    // it until the planner writes the next one.
    await using site = await EntrySite.createWithRunners(
      answerWith("ok"),
      answerWith("ok"),
    );
    const [first, second] = site.runners;
    site.store.putBytes(topics.pace, first.address, Buffer.from("{"));
    site.store.putBytes(topics.pace, "not an address", Buffer.from("{}"));
    site.store.put(topics.pace, second.address, { slowness: 6 });
    site.store.put(topics.pace, first.address, { slowness: "6" });
    const countSecondRunnerCalls = async (): Promise<number> => {
      const before = second.receivedRequests.length;
      for (let round = 0; round < 8; round += 1) {
        await site.call({ path: "/often/a" });
      }
      return second.receivedRequests.length - before;
    };
    await site.assertEventually(
      "the slow runner gets no requests",
      async () => {
        return (await countSecondRunnerCalls()) === 0;
      },
    );
    assert.is(await site.outages(), 0);
  });

  it("leave a valid configuration on the same page in force", async () => {
    // Two versions are read in one page, and the newer one can't be decoded.
    // The older one is still newer than the configuration in force.
    await using site = await EntrySite.createWithRunners(answerWith("ok"));
    const tenants = [{ name: "account-1", api_keys: ["key-two"] }];
    site.configure({ version: 2, tenants });
    site.store.putBytes(
      topics.operator,
      topics.configurationKey,
      Buffer.from('{"version":3,"routes":'),
    );
    await site.assertEventually(
      "the new configuration is in force",
      async () => {
        return (await site.call({ path: "/often/a" })).status === 401;
      },
    );
  });
});
