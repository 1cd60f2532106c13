import * as assert from "uvu/assert";
import {
  createCheckpoint,
  applyRecords,
  initialConfigurationState,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";
import {
  startFollowerSite,
  until,
  type RunningFollower,
} from "./follower-site.js";
import { publication, recordAt, weighted } from "./support.js";

function version({ follower }: RunningFollower): number {
  return follower.inForce?.version ?? -1;
}

function source({ follower }: RunningFollower): unknown {
  return follower.summary.source;
}

describe("following the configuration over real sockets", () => {
  it("brings a version to all, also by relays", async () => {
    await using site = await startFollowerSite();
    const names = ["a", "b", "c", "d"];
    const started = names.map((name) => site.start(name));
    const followers = await Promise.all(started);
    site.list();
    await site.append(publication());
    await until("first version", () =>
      followers.every((item) => version(item) === 0),
    );
    const late = await site.start("e");
    site.list();
    await until("the late one is fed", () => version(late) === 0);
    assert.is(source(late), "peer");
    const next = publication({ basedOn: 0, nonce: "b" });
    await site.append(next);
    await until("second version", () =>
      [...followers, late].every((item) => version(item) === 1),
    );
  });

  describe("when two operators publish at once", () => {
    // Both publications are based on version 0 and both appends succeed. Every
    // process runs the first one in log order, wherever it reads it from.
    it("has the same version everywhere", async () => {
      await using site = await startFollowerSite();
      const followers = [
        await site.start("a"),
        await site.start("b", "charguia"),
      ];
      site.list();
      await site.append(publication());
      const race = [0.2, 0.8].map((weight) =>
        site.append(
          publication({
            basedOn: 0,
            nonce: `n${weight}`,
            configuration: weighted(weight),
          }),
        ),
      );
      await Promise.all(race);
      await until("all read", () =>
        followers.every(({ follower }) => follower.summary.nextOffset === 3),
      );
      const hashes = followers.map(({ follower }) => follower.inForce?.hash);
      assert.is(new Set(hashes).size, 1);
      assert.ok(followers.every((item) => version(item) === 1));
    });
  });

  describe("during a log outage", () => {
    // The log answers 503 while a new process starts. It asks the processes on
    // the list and runs under the snapshot of one of them; when the log is back
    // the next version reaches it as usual.
    it("starts a process from a peer's snapshot", async () => {
      await using site = await startFollowerSite();
      const first = await site.start("a");
      site.list();
      await site.append(publication());
      await until("first version", () => version(first) === 0);
      site.log.faults.outage = true;
      const second = await site.start("b", "charguia");
      await until("snapshot", () => version(second) === 0);
      site.log.faults.outage = false;
      await site.append(publication({ basedOn: 0, nonce: "b" }));
      await until("next version", () => version(second) === 1);
    });
  });

  describe("when the log has dropped the publication", () => {
    // Only a checkpoint is left of version 0. A new process without peers is
    // told 410 for offset 0 and starts from the checkpoint.
    it("starts a process from a checkpoint", async () => {
      await using site = await startFollowerSite();
      await site.append(publication());
      const { state } = applyRecords(initialConfigurationState, [
        recordAt(0, publication()),
      ]);
      const checkpoint = createCheckpoint(state);
      assert.ok(checkpoint);
      await site.append(checkpoint);
      site.log.trim("configuration", 1);
      const only = await site.start("a");
      await until("checkpoint", () => version(only) === 0);
    });
  });

  describe("when two processes take each other for the relay", () => {
    // Each sees a list that shows only the other one. If both only followed,
    // neither would read the log and no version would arrive any more.
    it("reads the log at one of them", async () => {
      await using site = await startFollowerSite();
      await site.append(publication());
      const [a, b] = [await site.start("a"), await site.start("b")];
      await until("start", () => version(a) === 0 && version(b) === 0);
      const others = new Map([
        ["a", b],
        ["b", a],
      ]);
      for (const { name, follower } of [a, b]) {
        const other = others.get(name);
        assert.ok(other);
        const { address, dataCentre } = other;
        const vm = { name: other.name, address, dataCentre, operators: "" };
        follower.useList([{ ...vm, role: "entry", state: "live" }]);
      }
      await until("fed", () => [a, b].some((item) => source(item) === "peer"));
      await site.append(publication({ basedOn: 0, nonce: "b" }));
      await until("next", () => version(a) === 1 && version(b) === 1);
    });
  });

  describe("when the relay of a process dies", () => {
    // The feed ends with the relay. The process tries the next relay or reads
    // the log itself, and misses nothing that was published in between.
    it("goes on from another source", async () => {
      await using site = await startFollowerSite();
      const relays = [await site.start("a"), await site.start("b")];
      site.list();
      await site.append(publication());
      await until("relays", () => relays.every((item) => version(item) === 0));
      const fed = await site.start("c");
      await until("fed", () => version(fed) === 0);
      for (const relay of relays) await relay[Symbol.asyncDispose]();
      await site.append(publication({ basedOn: 0, nonce: "b" }));
      await until("next version", () => version(fed) === 1);
    });
  });
});
