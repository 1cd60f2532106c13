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

function versionInForce({ follower }: RunningFollower): number {
  return follower.inForce?.version ?? -1;
}

function sourceOf({ follower }: RunningFollower): unknown {
  return follower.summary.source;
}

describe("following the configuration over real sockets", () => {
  it("delivers a version to all processes, also through relays", async () => {
    await using site = await startFollowerSite();
    const names = ["a", "b", "c", "d"];
    const started = names.map((name) => site.start(name));
    const followers = await Promise.all(started);
    site.list();
    await site.append(publication());
    await until("first version", () =>
      followers.every((item) => versionInForce(item) === 0),
    );
    const late = await site.start("e");
    site.list();
    await until("the late process is fed", () => versionInForce(late) === 0);
    assert.is(sourceOf(late), "peer");
    const next = publication({ basedOn: 0, nonce: "b" });
    await site.append(next);
    await until("second version", () =>
      [...followers, late].every((item) => versionInForce(item) === 1),
    );
  });

  describe("when two operators publish concurrently", () => {
    // Both publications are based on version 0 and both appends succeed. Every
    // process puts the first one in log order in force, whatever its source.
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
      assert.ok(followers.every((item) => versionInForce(item) === 1));
    });
  });

  describe("during a log outage", () => {
    // The log answers 503 while a new process starts. The process asks the
    // others on the list and uses the snapshot of one of them; once the log is
    // available again, it receives the next version as usual.
    it("starts a process from a peer's snapshot", async () => {
      await using site = await startFollowerSite();
      const first = await site.start("a");
      site.list();
      await site.append(publication());
      await until("first version", () => versionInForce(first) === 0);
      site.log.faults.outage = true;
      const second = await site.start("b", "charguia");
      await until("snapshot", () => versionInForce(second) === 0);
      site.log.faults.outage = false;
      await site.append(publication({ basedOn: 0, nonce: "b" }));
      await until("next version", () => versionInForce(second) === 1);
    });
  });

  describe("when the log has trimmed the publication", () => {
    // Version 0 is trimmed and only its checkpoint is left. A new process
    // without peers gets 410 for offset 0 and starts from the checkpoint.
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
      await until("checkpoint", () => versionInForce(only) === 0);
    });
  });

  describe("when two processes regard each other as the relay", () => {
    // Each has a list that contains only the other one. If both only followed,
    // neither would read the log, and neither would receive new versions.
    it("reads the log at one of them", async () => {
      await using site = await startFollowerSite();
      await site.append(publication());
      const [a, b] = [await site.start("a"), await site.start("b")];
      await until(
        "start",
        () => versionInForce(a) === 0 && versionInForce(b) === 0,
      );
      const others = new Map([
        ["a", b],
        ["b", a],
      ]);
      for (const { name, follower } of [a, b]) {
        const other = others.get(name);
        assert.ok(other);
        const { address, dataCentre } = other;
        const vm = { name: other.name, address, dataCentre, operators: "" };
        follower.setVms([{ ...vm, role: "entry", state: "live" }]);
      }
      await until("fed", () =>
        [a, b].some((item) => sourceOf(item) === "peer"),
      );
      await site.append(publication({ basedOn: 0, nonce: "b" }));
      await until(
        "next",
        () => versionInForce(a) === 1 && versionInForce(b) === 1,
      );
    });
  });

  describe("when the relay of a process dies", () => {
    // The feed ends with the relay. The process tries the next relay or reads
    // the log itself, and must not miss a version published in between.
    it("continues from another source", async () => {
      await using site = await startFollowerSite();
      const relays = [await site.start("a"), await site.start("b")];
      site.list();
      await site.append(publication());
      await until("relays", () =>
        relays.every((item) => versionInForce(item) === 0),
      );
      const fed = await site.start("c");
      await until("fed", () => versionInForce(fed) === 0);
      for (const relay of relays) await relay[Symbol.asyncDispose]();
      await site.append(publication({ basedOn: 0, nonce: "b" }));
      await until("next version", () => versionInForce(fed) === 1);
    });
  });
});
