import * as assert from "uvu/assert";
import { ignoreEvents } from "../../src/internal.js";
import {
  BackendServerDirectory,
  LAPSE_GRACE_MS,
  REPLACED_GRACE_MS,
} from "../../src/membership/directory.js";
import { PAST_LIFE_KEPT_MS } from "../../src/membership/past-lives.js";
import { VirtualTime } from "../../fuzz/virtual-time.js";
import type { BackendServer } from "../../src/membership/types.js";
import { describe, it } from "../support/describe.js";

const FIRST = 1_790_000_000_000;
const SECOND = FIRST + 5000;
const THIRD = SECOND + 5000;

function serverOf(fields: Partial<BackendServer>): BackendServer {
  return {
    id: "r1",
    startedAtMs: FIRST,
    service: "model",
    address: "10.0.0.1:80",
    dataCentre: "here",
    slots: 8,
    isLeaving: false,
    heartbeat: 500,
    ...fields,
  };
}

class Site {
  private readonly time = VirtualTime.create(60_000);
  /** What the directory told, in order. */
  told: string[] = [];
  readonly serving = new Map<string, BackendServer>();
  readonly directory = BackendServerDirectory.create({
    now: () => this.time.nowMs,
    after: (delayMs, action) => {
      this.time.after(delayMs, action);
    },
    emit: ignoreEvents,
    onServer: (server) => {
      this.serving.set(server.id, server);
      this.told.push(`server ${nameOf(server)}`);
    },
    onGone: (id) => {
      this.serving.delete(id);
      this.told.push(`gone ${id}`);
    },
    isServiceNamed: (service) => service === "model",
    onEnded: (earlier, later) => {
      this.told.push(`ended ${nameOf(earlier)} by ${nameOf(later)}`);
    },
  });

  register(fields: Partial<BackendServer>): void {
    const server = serverOf(fields);
    this.directory.apply([{ id: server.id, server }]);
  }

  remove(id = "r1"): void {
    this.directory.apply([{ id, server: undefined }]);
  }

  /** Start of the life that may get work under the id. */
  startOf(id = "r1"): number | undefined {
    return this.serving.get(id)?.startedAtMs;
  }

  restore(): void {
    this.directory.onStoreRestored(this.time.nowMs);
  }

  pass(durationMs: number): void {
    this.time.advance(durationMs);
  }
}

function nameOf({ id, startedAtMs }: BackendServer): string {
  return `${id}@${(startedAtMs ?? FIRST) - FIRST}`;
}

describe("directory, when a runner starts again under its id", () => {
  describe("takes the later life at once", () => {
    for (const heartbeat of [1, 500, 900]) {
      it(`at the same address, with heartbeat ${heartbeat} after 500`, () => {
        // A runner has crashed after 500 heartbeats and is back before its
        // registration has lapsed. Its heartbeats count from the beginning, so
        // that by their number alone it is passed over for minutes; and what
        // is known of the earlier life goes on to be held against it.
        const site = new Site();
        site.register({});
        site.told = [];
        site.register({ startedAtMs: SECOND, heartbeat });
        assert.is(site.startOf(), SECOND);
        assert.equal(site.told, [
          "gone r1",
          "ended r1@0 by r1@5000",
          "server r1@5000",
        ]);
      });

      it(`at another address, with heartbeat ${heartbeat} after 500`, () => {
        // The same on another VM: until the new address is known, everything
        // is sent to one where nobody answers.
        const site = new Site();
        site.register({});
        const address = "10.0.0.2:80";
        site.register({ startedAtMs: SECOND, heartbeat, address });
        assert.is(site.serving.get("r1")?.address, address);
      });
    }

    it("after the earlier one said that it leaves", () => {
      // The runner drains, exits and starts again within a second. Its entry
      // was never removed, so that the note that it leaves stands for good.
      const site = new Site();
      site.register({});
      site.register({ heartbeat: 501, isLeaving: true });
      site.register({ startedAtMs: SECOND, heartbeat: 1 });
      assert.is(site.startOf(), SECOND);
    });

    it("after the earlier one was removed", () => {
      const site = new Site();
      site.register({});
      site.remove();
      site.told = [];
      site.register({ startedAtMs: SECOND, heartbeat: 1 });
      assert.is(site.startOf(), SECOND);
      assert.equal(site.told, ["ended r1@0 by r1@5000", "server r1@5000"]);
    });

    it("out of a register read anew", () => {
      const site = new Site();
      site.register({});
      const server = serverOf({ startedAtMs: SECOND, heartbeat: 1 });
      site.directory.replace([server]);
      assert.is(site.startOf(), SECOND);
    });

    it("and gives nothing to a later life that leaves already", () => {
      const site = new Site();
      site.register({});
      site.register({ startedAtMs: SECOND, heartbeat: 1, isLeaving: true });
      assert.is(site.startOf(), undefined);
      site.register({ startedAtMs: SECOND, heartbeat: 2 });
      assert.is(site.startOf(), undefined);
    });

    it("twice over", () => {
      const site = new Site();
      site.register({});
      site.register({ startedAtMs: SECOND, heartbeat: 3 });
      site.register({ startedAtMs: THIRD, heartbeat: 1 });
      assert.is(site.startOf(), THIRD);
    });
  });

  describe("leaves the later life as it is when the earlier one's", () => {
    it("heartbeat comes late", () => {
      // A write without an answer is carried out seconds later. By its number
      // it would be the newest, and everything would go to a dead address.
      const site = new Site();
      site.register({});
      const address = "10.0.0.2:80";
      site.register({ startedAtMs: SECOND, heartbeat: 1, address });
      site.told = [];
      site.register({ heartbeat: 501 });
      assert.is(site.serving.get("r1")?.address, address);
      assert.equal(site.told, []);
    });

    it("notice that it leaves comes late", () => {
      const site = new Site();
      site.register({});
      site.register({ startedAtMs: SECOND, heartbeat: 1 });
      site.register({ heartbeat: 501, isLeaving: true });
      site.register({ startedAtMs: SECOND, heartbeat: 2 });
      assert.is(site.startOf(), SECOND);
    });

    it("removal comes late, shortly after the later one began", () => {
      // Three heartbeats of silence are over just as the new life registers,
      // and the removal lands behind its first heartbeat. No life is silent
      // for so long at its very start: it stays for a while, in which it may
      // register again.
      const site = new Site();
      site.register({});
      site.register({ startedAtMs: SECOND, heartbeat: 1 });
      site.pass(REPLACED_GRACE_MS - 1);
      site.remove();
      assert.is(site.startOf(), SECOND);
      site.register({ startedAtMs: SECOND, heartbeat: 2 });
      site.pass(REPLACED_GRACE_MS);
      assert.is(site.startOf(), SECOND);
    });

    it("registration is in a register read anew", () => {
      const site = new Site();
      site.register({});
      site.register({ startedAtMs: SECOND, heartbeat: 1 });
      site.directory.replace([serverOf({ heartbeat: 501 })]);
      assert.is(site.startOf(), SECOND);
    });

    it("heartbeat comes after the later one was removed", () => {
      const site = new Site();
      site.register({});
      site.register({ startedAtMs: SECOND, heartbeat: 1 });
      site.pass(REPLACED_GRACE_MS);
      site.remove();
      site.register({ heartbeat: 501 });
      assert.is(site.startOf(), undefined);
      site.pass(PAST_LIFE_KEPT_MS / 2);
      site.register({ heartbeat: 502 });
      assert.is(site.startOf(), undefined);
    });
  });

  it("drops the later life that is removed right after its start and stays silent", () => {
    const site = new Site();
    site.register({});
    site.register({ startedAtMs: SECOND, heartbeat: 1 });
    site.remove();
    site.pass(REPLACED_GRACE_MS);
    assert.is(site.startOf(), undefined);
  });

  it("drops the later life that is removed later on at once", () => {
    const site = new Site();
    site.register({});
    site.register({ startedAtMs: SECOND, heartbeat: 1 });
    site.pass(REPLACED_GRACE_MS);
    site.remove();
    assert.is(site.startOf(), undefined);
  });

  it("takes two lives that are seen out of order for what they are", () => {
    // An entry reads the later life first: the earlier one's record came late.
    const site = new Site();
    site.register({ startedAtMs: SECOND, heartbeat: 1 });
    site.register({ heartbeat: 500 });
    assert.is(site.startOf(), SECOND);
    assert.equal(site.told, ["server r1@5000"]);
  });

  it("gives a life that left nothing more after its entry was removed", () => {
    const site = new Site();
    site.register({});
    site.register({ heartbeat: 501, isLeaving: true });
    site.remove();
    site.register({ heartbeat: 500 });
    assert.is(site.startOf(), undefined);
  });

  describe("beside records that name a service nobody has named", () => {
    const foreign = { startedAtMs: THIRD, service: "nowhere" } as const;

    it("loses the runner of that id only until it registers again", () => {
      // Somebody else writes under the runner's id, with a start and a heartbeat
      // from the future. Taken for a later life, it would cut what runs at the
      // runner and keep it out until its own count had come so far.
      const site = new Site();
      site.register({});
      site.told = [];
      site.register({ ...foreign, heartbeat: 10_000 });
      assert.equal(site.told, ["gone r1"]);
      site.register({ heartbeat: 501 });
      assert.is(site.startOf(), FIRST);
    });

    it("loses no address to them", () => {
      const site = new Site();
      site.register({ ...foreign, id: "r9" });
      site.register({});
      assert.is(site.startOf(), FIRST);
      site.register({ ...foreign, id: "r8" });
      assert.is(site.startOf(), FIRST);
      assert.not.ok(site.told.some((line) => line.startsWith("ended")));
    });
  });

  describe("whose clock was set back between two starts", () => {
    it("takes the new life once the known one has been silent for long", () => {
      // The new life's start seems to be the earlier one, and its records are
      // taken for late ones. Without a bound nothing would ever go to it.
      const site = new Site();
      site.register({ startedAtMs: SECOND });
      const address = "10.0.0.2:80";
      site.register({ heartbeat: 1, address });
      site.pass(PAST_LIFE_KEPT_MS - 1);
      site.register({ heartbeat: 2, address });
      assert.is(site.startOf(), SECOND);
      site.pass(1);
      site.register({ heartbeat: 3, address });
      assert.is(site.serving.get("r1")?.address, address);
      assert.ok(site.told.includes("ended r1@5000 by r1@0"));
    });

    it("does so after the known one has left", () => {
      const site = new Site();
      site.register({ startedAtMs: SECOND, isLeaving: true });
      site.pass(PAST_LIFE_KEPT_MS);
      site.register({ heartbeat: 1 });
      assert.is(site.startOf(), FIRST);
    });

    it("holds nothing against a life that goes on registering", () => {
      const site = new Site();
      site.register({ startedAtMs: SECOND, heartbeat: 1 });
      site.pass(PAST_LIFE_KEPT_MS);
      site.register({ startedAtMs: SECOND, heartbeat: 2 });
      site.register({ heartbeat: 900 });
      assert.is(site.startOf(), SECOND);
    });
  });

  it("forgets a past life after a while", () => {
    const site = new Site();
    site.register({ startedAtMs: SECOND });
    site.remove();
    assert.is(site.directory.pastCount, 1);
    site.pass(PAST_LIFE_KEPT_MS);
    assert.is(site.directory.pastCount, 0);
  });

  describe("around an outage of the store", () => {
    it("takes the later life in place of one that lapsed", () => {
      // The store is away, the runner crashes and starts again meanwhile. The
      // removal is read first, then the new life with a lower heartbeat.
      const site = new Site();
      site.register({});
      site.directory.onStoreLost();
      site.pass(8000);
      site.restore();
      site.remove();
      site.register({ startedAtMs: SECOND, heartbeat: 2 });
      site.pass(LAPSE_GRACE_MS);
      assert.is(site.startOf(), SECOND);
    });

    it("isn't held up by a late heartbeat in dropping a lapsed later life", () => {
      const site = new Site();
      site.register({ startedAtMs: SECOND, heartbeat: 9 });
      site.directory.onStoreLost();
      site.restore();
      site.remove();
      site.register({ heartbeat: 900 });
      site.pass(LAPSE_GRACE_MS);
      assert.is(site.startOf(), undefined);
    });
  });

  describe("at an address", () => {
    const other = { id: "r2", startedAtMs: SECOND, heartbeat: 1 } as const;

    it("ends the life of another id that was there before", () => {
      const site = new Site();
      site.register({});
      site.register(other);
      assert.equal(
        [...site.serving.values()].map(({ id }) => id),
        ["r2"],
      );
      assert.ok(site.told.includes("ended r1@0 by r2@5000"));
    });

    it("takes no late record of a life that was there before", () => {
      // The address has gone to another runner. A late heartbeat of the one
      // before would take it away again, and its requests would be refused as
      // misdirected.
      const site = new Site();
      site.register({});
      site.register(other);
      site.register({ heartbeat: 501 });
      assert.is(site.startOf("r2"), SECOND);
      assert.is(site.startOf(), undefined);
    });

    it("doesn't end work there where starts aren't told", () => {
      const site = new Site();
      site.register({ startedAtMs: undefined });
      site.register({ ...other, startedAtMs: undefined });
      assert.not.ok(site.told.some((line) => line.startsWith("ended")));
    });
  });

  describe("where starts aren't told", () => {
    it("goes by heartbeats, as with one life", () => {
      const site = new Site();
      site.register({ startedAtMs: undefined });
      site.register({ startedAtMs: undefined, heartbeat: 1, slots: 1 });
      assert.is(site.serving.get("r1")?.slots, 8);
    });

    it("in some records, keeps the start that it knows", () => {
      const site = new Site();
      site.register({ startedAtMs: SECOND });
      site.register({ startedAtMs: undefined, heartbeat: 501, slots: 1 });
      assert.is(site.startOf(), SECOND);
      assert.is(site.serving.get("r1")?.slots, 1);
      site.register({ heartbeat: 900 });
      assert.is(site.startOf(), SECOND);
    });

    it("takes a leaving id again once its entry was removed", () => {
      const site = new Site();
      site.register({ startedAtMs: undefined });
      site.register({
        startedAtMs: undefined,
        heartbeat: 501,
        isLeaving: true,
      });
      site.remove();
      site.register({ startedAtMs: undefined, heartbeat: 1 });
      assert.ok(site.serving.has("r1"));
    });

    it("takes a leaving id again whose removal wasn't read", () => {
      // History was forgotten, and with it the removal; the register read anew
      // doesn't hold the id any more.
      const site = new Site();
      site.register({ startedAtMs: undefined, isLeaving: true });
      site.directory.replace([]);
      site.register({ startedAtMs: undefined, heartbeat: 1 });
      assert.ok(site.serving.has("r1"));
    });
  });
});
