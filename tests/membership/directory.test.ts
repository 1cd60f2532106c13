import * as assert from "uvu/assert";
import { ignoreEvents } from "../../src/internal.js";
import {
  BackendServerDirectory,
  LAPSE_GRACE_MS,
} from "../../src/membership/directory.js";
import { VirtualTime } from "../../fuzz/virtual-time.js";
import type { BackendServer } from "../../src/membership/types.js";
import { describe, it } from "../support/describe.js";

function serverOf(fields: Partial<BackendServer>): BackendServer {
  return {
    id: "r1",
    service: "model",
    address: "10.0.0.1:80",
    dataCentre: "here",
    slots: 8,
    isLeaving: false,
    heartbeat: 1,
    startedAtMs: undefined,
    ...fields,
  };
}

class Site {
  private readonly time = VirtualTime.create(60_000);
  readonly serving = new Set<string>();
  /** Services that the configuration names. */
  readonly services = new Set(["model", "other"]);
  readonly directory = BackendServerDirectory.create({
    now: () => this.time.nowMs,
    after: (delayMs, action) => {
      this.time.after(delayMs, action);
    },
    emit: ignoreEvents,
    onServer: ({ id }) => this.serving.add(id),
    onGone: (id) => this.serving.delete(id),
    onEnded: () => undefined,
    isServiceNamed: (service) => this.services.has(service),
  });

  register(fields: Partial<BackendServer>): void {
    const server = serverOf(fields);
    this.directory.apply([{ id: server.id, server }]);
  }

  remove(id: string): void {
    this.directory.apply([{ id, server: undefined }]);
  }

  /** All newest records, as a reading of the whole register gives them. */
  readWhole(...servers: readonly Partial<BackendServer>[]): void {
    this.directory.replace(servers.map(serverOf));
  }

  /** The store has come back from a copy that holds these records. */
  comeBackWith(...servers: readonly Partial<BackendServer>[]): void {
    this.directory.onStoreReturned(this.time.nowMs);
    this.readWhole(...servers);
  }

  /** The store is back since the last call that failed. */
  restore(sinceMs = 0): void {
    this.directory.onStoreRestored(this.time.nowMs - sinceMs);
  }

  pass(durationMs: number): void {
    this.time.advance(durationMs);
  }

  get names(): string[] {
    return [...this.serving].sort();
  }
}

describe("directory of backend servers", () => {
  it("gives a leaving runner nothing more, whatever comes late", () => {
    // A runner reports that it leaves; a heartbeat from before arrives after.
    // Taking it back would send it requests past the platform's bound.
    const site = new Site();
    site.register({ heartbeat: 4 });
    site.register({ heartbeat: 6, isLeaving: true });
    site.register({ heartbeat: 5 });
    assert.equal(site.names, []);
    site.register({ heartbeat: 7 });
    assert.equal(site.names, []);
  });

  it("drops a removed runner at once while the store is well", () => {
    const site = new Site();
    site.register({});
    site.remove("r1");
    assert.equal(site.names, []);
  });

  describe("when an entry turns unusable", () => {
    const unusable = { id: "r1", server: undefined, isUnusable: true };

    it("drops its runner at once, around an outage as well", () => {
      // The entry is there and says nothing that holds. Held like one that has
      // lapsed in an outage, its runner would get requests for two seconds.
      const site = new Site();
      site.register({ heartbeat: 8 });
      site.directory.onStoreLost();
      site.directory.apply([unusable]);
      assert.equal(site.names, []);
    });

    it("takes it back with the next good one", () => {
      const site = new Site();
      site.register({ heartbeat: 8 });
      site.directory.apply([unusable]);
      site.register({ heartbeat: 2 });
      assert.equal(site.names, ["r1"]);
    });

    it("doesn't take back one that has said that it leaves", () => {
      const site = new Site();
      site.register({ heartbeat: 8, isLeaving: true });
      site.directory.apply([unusable]);
      site.register({ heartbeat: 9 });
      assert.equal(site.names, []);
    });
  });

  it("leaves an address to its runner against unnamed services", () => {
    // Anybody may register any service. Only one that the configuration names
    // tells that the address has a new runner.
    const site = new Site();
    site.register({ id: "old" });
    site.register({ id: "odd", service: "unheard-of" });
    assert.equal(site.names, ["odd", "old"]);
    site.services.add("unheard-of");
    site.register({ id: "odd", service: "unheard-of", heartbeat: 2 });
    assert.equal(site.names, ["odd"]);
  });

  it("gives an address to the runner that registered there last", () => {
    const site = new Site();
    site.register({ id: "old" });
    site.register({ id: "new", service: "other" });
    assert.equal(site.names, ["new"]);
  });

  describe("around an outage of the store", () => {
    it("keeps a lapsed runner until it has registered again", () => {
      // The store is away longer than the heartbeats last: every registration
      // lapses, and the removals are read first when it is back. The runners
      // live; without them callers would get nothing but refusals.
      const site = new Site();
      site.register({ heartbeat: 3 });
      site.directory.onStoreLost();
      site.pass(8000);
      site.restore();
      site.remove("r1");
      site.pass(1500);
      site.register({ heartbeat: 9 });
      site.pass(LAPSE_GRACE_MS);
      assert.equal(site.names, ["r1"]);
    });

    it("drops one that is still missing after the grace", () => {
      const site = new Site();
      site.register({});
      site.directory.onStoreLost();
      site.restore();
      site.remove("r1");
      site.pass(LAPSE_GRACE_MS - 1);
      assert.equal(site.names, ["r1"]);
      site.pass(1);
      assert.equal(site.names, []);
    });

    it("drops it within three seconds of the store's return", () => {
      // The entry tries a connection that hangs, the store is back right after,
      // and the next try comes a second later. By then the entry counts as in
      // touch with the store in two seconds, and a runner that left during the
      // outage may get nothing from there on.
      const site = new Site();
      site.register({});
      site.directory.onStoreLost();
      site.pass(1100);
      site.restore(1100);
      site.remove("r1");
      site.pass(3000 - 1100);
      assert.equal(site.names, []);
    });

    it("judges it by what is read after another outage", () => {
      // The store goes away again before the runner has registered. Nothing is
      // known of it meanwhile: it may have registered since, and dropped by the
      // first outage's time it would leave callers without a runner that works.
      const site = new Site();
      for (const id of ["gone", "lives"]) site.register({ id, address: id });
      site.directory.onStoreLost();
      site.restore();
      for (const id of ["gone", "lives"]) site.remove(id);
      site.directory.onStoreLost();
      site.pass(LAPSE_GRACE_MS);
      assert.equal(site.names, ["gone", "lives"]);
      site.restore();
      site.register({ id: "lives", address: "lives" });
      site.pass(0);
      assert.equal(site.names, ["lives"]);
    });

    it("still drops one that says that it leaves", () => {
      const site = new Site();
      site.register({ heartbeat: 1 });
      site.directory.onStoreLost();
      site.restore();
      site.register({ heartbeat: 2, isLeaving: true });
      assert.equal(site.names, []);
    });
  });

  it("takes a register read anew as the whole truth", () => {
    const site = new Site();
    site.register({ id: "a", address: "10.0.0.1:80" });
    site.register({ id: "b", address: "10.0.0.2:80" });
    site.directory.replace([serverOf({ id: "b", address: "10.0.0.2:80" })]);
    assert.equal(site.names, ["b"]);
  });

  describe("when the store comes back from an older copy", () => {
    it("gives a removed runner nothing that the copy still shows ready", () => {
      // Its address leads nowhere by now, or to another runner.
      const site = new Site();
      site.register({ heartbeat: 4 });
      site.remove("r1");
      site.comeBackWith({ heartbeat: 4 });
      assert.equal(site.names, []);
      site.readWhole({ heartbeat: 3 });
      assert.equal(site.names, []);
    });

    it("gives a leaving runner nothing that the copy still shows ready", () => {
      // The process has read that it leaves, which binds it whatever the store
      // has lost; past the platform's bound each request breaks its rules.
      const site = new Site();
      site.register({ heartbeat: 4 });
      site.register({ heartbeat: 5, isLeaving: true });
      site.comeBackWith({ heartbeat: 4 });
      assert.equal(site.names, []);
      site.register({ heartbeat: 5 });
      assert.equal(site.names, []);
    });

    it("gives one that had left before the return nothing either", () => {
      // Its entry was removed, so nothing of it is in the register any more.
      const site = new Site();
      site.register({ heartbeat: 4 });
      site.register({ heartbeat: 5, isLeaving: true });
      site.remove("r1");
      site.pass(3000);
      site.comeBackWith({ heartbeat: 4 });
      assert.equal(site.names, []);
    });

    it("takes a removed runner that writes again", () => {
      const site = new Site();
      site.register({ heartbeat: 4 });
      site.remove("r1");
      site.comeBackWith({ heartbeat: 4 });
      site.register({ heartbeat: 5 });
      assert.equal(site.names, ["r1"]);
    });

    it("keeps a runner that isn't in the copy until it can have written again", () => {
      // It registered after the copy was made. Taken for gone, all that have
      // started lately get nothing until their next heartbeat.
      const site = new Site();
      site.register({ heartbeat: 1 });
      site.comeBackWith();
      site.pass(LAPSE_GRACE_MS - 1);
      assert.equal(site.names, ["r1"]);
      site.pass(1);
      assert.equal(site.names, []);
    });

    it("takes a later life at once", () => {
      const site = new Site();
      site.register({ heartbeat: 4, startedAtMs: 1000 });
      site.remove("r1");
      site.comeBackWith({ heartbeat: 1, startedAtMs: 2000 });
      assert.equal(site.names, ["r1"]);
    });
  });
});
