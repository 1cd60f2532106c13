import * as assert from "uvu/assert";
import { topics } from "../../platform/names.js";
import { answerWith, SigningRunner } from "../../standins/signing-runner.js";
import { describe, it } from "../support/describe.js";
import {
  foreignRecords,
  type Registration,
} from "../support/foreign-records.js";
import { EntrySite } from "./entry-site.js";

/** A runner that works, at an address that only foreign entries name. */
function trap(): Promise<SigningRunner> {
  return SigningRunner.create("trap", answerWith("from the trap"));
}

/** One entry of each kind that names no runner to use. */
function putForeign(site: EntrySite, good: Registration): void {
  for (const { key, value } of foreignRecords(good)) {
    site.store.putBytes(topics.register, key, value);
  }
  site.store.putUnframed(topics.register, Buffer.alloc(0));
  site.store.putUnframed(topics.register, Buffer.from([9, 0x72]));
}

async function assertServedBy(
  site: EntrySite,
  ids: readonly string[],
): Promise<void> {
  for (let round = 0; round < 12; round += 1) {
    const { status } = await site.call({ path: "/often/a" });
    assert.is(status, 200);
  }
  const served = site.runners.filter(({ arrivals }) => arrivals.length > 0);
  const names = served.map(({ id }) => id);
  assert.ok(
    names.every((name) => ids.includes(name)),
    names.join(","),
  );
}

describe("entries of the register from other writers", () => {
  it("in the first reading leave the others usable", async () => {
    // Another program has written into the register before the entry starts.
    // Taken for a failed reading, the entry would never be ready, and its
    // balancer would send callers to no entry at all.
    await using decoy = await trap();
    await using site = await EntrySite.create((store) => {
      const good = {
        backend: "service",
        address: decoy.address,
        zone: "here",
        version: "v1",
        slots: 4,
        state: "ready",
        cold_left_ms: 0,
        sequence: 1,
      };
      for (const { key, value } of foreignRecords(good)) {
        store.putBytes(topics.register, key, value);
      }
    });
    site.configure({});
    await site.addRunner(answerWith("ok"));
    await site.soon("ready", async () => (await site.readiness()) === 200);
    await site.soon("one runner", () => site.entry.runnerCount === 1);
    await assertServedBy(site, ["r0"]);
    assert.is(decoy.arrivals.length + decoy.misdirected, 0);
    assert.is(await site.outages(), 0);
  });

  it("among changes lose none of the others, removals included", async () => {
    // In one reading: a runner is removed, another one registers, and foreign
    // entries stand before, between and after. If they void the reading, the
    // entry sends callers to the removed runner and none to the new one, and
    // holds what lapses as if the store had been away.
    await using decoy = await trap();
    await using site = await EntrySite.serving(
      answerWith("ok"),
      answerWith("ok"),
    );
    putForeign(site, site.registrationOf(decoy.address));
    site.store.drop(topics.register, "r0");
    putForeign(site, site.registrationOf(decoy.address));
    await site.addRunner(answerWith("ok"));
    putForeign(site, site.registrationOf(decoy.address));
    const third = site.runners[2];
    await site.soon("the new runner serves", async () => {
      assert.is((await site.call({ path: "/often/a" })).status, 200);
      return third.arrivals.length > 0;
    });
    assert.is(site.entry.runnerCount, 2);
    const before = site.runners[0].arrivals.length;
    await assertServedBy(site, ["r0", "r1", "r2"]);
    assert.is(site.runners[0].arrivals.length, before);
    assert.is(decoy.arrivals.length + decoy.misdirected, 0);
    assert.is(await site.outages(), 0);
  });

  it("over a runner's own take it out until it writes again", async () => {
    // Somebody overwrites a runner's entry. What it said before isn't known to
    // hold any more, so it gets nothing; its next heartbeat is good again.
    await using site = await EntrySite.serving(
      answerWith("ok"),
      answerWith("ok"),
    );
    const [first] = site.runners;
    const { state, ...stateless } = site.registrationOf(first.address);
    assert.is(state, "ready");
    site.store.put(topics.register, first.id, stateless);
    await site.soon("one runner", () => site.entry.runnerCount === 1);
    const before = first.arrivals.length;
    await assertServedBy(site, ["r0", "r1"]);
    assert.is(first.arrivals.length, before);
    site.register(first, "ready");
    await site.soon("two runners", () => site.entry.runnerCount === 2);
    assert.is(await site.outages(), 0);
  });

  it("over a runner's own take it out during an outage as well", async () => {
    // What is removed around an outage is held for a while, because living
    // runners lapse then. An entry that is there and bad hasn't lapsed.
    await using site = await EntrySite.serving(
      answerWith("ok"),
      answerWith("ok"),
    );
    await site.loseStore();
    site.store.putBytes(topics.register, "r0", Buffer.from("?"));
    site.store.mood = "well";
    const isOut = (): boolean => site.entry.runnerCount === 1;
    await site.soon("one runner", isOut);
  });

  it("over a runner's own take it out in a register read anew", async () => {
    // The same, and the store has forgotten its history meanwhile: the entry
    // is found among the newest records, beside what has lapsed.
    await using site = await EntrySite.serving(
      answerWith("ok"),
      answerWith("ok"),
    );
    await site.loseStore();
    site.store.putBytes(topics.register, "r0", Buffer.from("?"));
    site.store.drop(topics.register, "r1");
    site.store.forgetHistory(topics.register);
    site.store.mood = "well";
    const isOut = (): boolean => site.entry.runnerCount === 1;
    await site.soon("one runner", isOut);
    await assertServedBy(site, ["r1"]);
  });

  describe("of a service that isn't known", () => {
    it("get no request", async () => {
      await using decoy = await trap();
      await using site = await EntrySite.serving(answerWith("ok"));
      const stranger = {
        ...site.registrationOf(decoy.address),
        backend: "unheard-of",
      };
      site.store.put(topics.register, "x1", stranger);
      await site.soon("it is known", () => site.entry.runnerCount === 2);
      await assertServedBy(site, ["r0"]);
      assert.is(decoy.arrivals.length + decoy.misdirected, 0);
    });

    it("serve once a configuration names the service", async () => {
      await using site = await EntrySite.serving(answerWith("ok"));
      const other = await SigningRunner.create("x1", answerWith("later"));
      site.runners.push(other);
      const entry = {
        ...site.registrationOf(other.address),
        backend: "service-2",
      };
      site.store.put(topics.register, "x1", entry);
      await site.soon("it is known", () => site.entry.runnerCount === 2);
      const route = {
        name: "late",
        hostname: "site.example",
        path_prefix: "/late/",
        route_kind: "idempotent",
        timeout_ms: 6000,
        backend: "service-2",
      };
      site.configure({ version: 2, routes: [route] });
      await site.soon("it serves", async () => {
        const { body } = await site.call({ path: "/late/a" });
        return body === "later";
      });
    });

    it("don't take a runner's address away from it", async () => {
      // A foreign entry names the address of a working runner. An address
      // names the runner that registered there last, so that one would be
      // without requests until its next heartbeat.
      await using site = await EntrySite.serving(answerWith("ok"));
      const stranger = {
        ...site.registrationOf(site.runners[0].address),
        backend: "unheard-of",
      };
      site.store.put(topics.register, "x1", stranger);
      const read = (): number => site.store.calls.get("/-/log-read") ?? 0;
      const before = read();
      await site.soon("two readings", () => read() >= before + 4);
      await assertServedBy(site, ["r0"]);
    });
  });
});

describe("records of the other topics from other writers", () => {
  it("leave the pace notes beside them in force", async () => {
    // A note that can't be read stands between two others. The planner's note
    // of a slow rank is lost with the page, and callers are sent there until
    // it writes the next one.
    await using site = await EntrySite.serving(
      answerWith("ok"),
      answerWith("ok"),
    );
    const [first, second] = site.runners;
    site.store.putBytes(topics.pace, first.address, Buffer.from("{"));
    site.store.putBytes(topics.pace, "not an address", Buffer.from("{}"));
    site.store.put(topics.pace, second.address, { slowness: 6 });
    site.store.put(topics.pace, first.address, { slowness: "6" });
    const probe = async (): Promise<number> => {
      const before = second.arrivals.length;
      for (let round = 0; round < 8; round += 1) {
        await site.call({ path: "/often/a" });
      }
      return second.arrivals.length - before;
    };
    await site.soon("the slow one gets nothing", async () => {
      return (await probe()) === 0;
    });
    assert.is(await site.outages(), 0);
  });

  it("leave a configuration in force that came in the same page", async () => {
    // Two versions are read at once, and the newer one can't be decoded. The
    // older one of them is newer than what is in force.
    await using site = await EntrySite.serving(answerWith("ok"));
    const tenants = [{ name: "account-1", api_keys: ["key-two"] }];
    site.configure({ version: 2, tenants });
    site.store.putBytes(
      topics.operator,
      topics.configurationKey,
      Buffer.from('{"version":3,"routes":'),
    );
    await site.soon("the new key is in force", async () => {
      return (await site.call({ path: "/often/a" })).status === 401;
    });
  });
});
