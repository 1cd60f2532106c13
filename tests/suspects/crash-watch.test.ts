import * as assert from "uvu/assert";
import { ignoreEvents } from "../../src/internal.js";
import {
  CrashWatch,
  PENDING_MS,
  type PortState,
} from "../../src/suspects/crash-watch.js";
import { SuspectRequests } from "../../src/suspects/suspect-requests.js";
import { describe, it } from "../support/describe.js";

const RUNNER = { id: "r1", address: "10.0.0.1:1" };

class Site {
  nowMs = 1_790_000_000_000;
  port: PortState = "closed";
  looks = 0;
  evidence = 0;
  readonly suspects = SuspectRequests.create(() => this.nowMs);
  readonly watch = CrashWatch.create({
    now: () => this.nowMs,
    emit: ignoreEvents,
    suspects: this.suspects,
    portState: () => {
      this.looks += 1;
      return Promise.resolve(this.port);
    },
    onEvidence: () => {
      this.evidence += 1;
    },
  });

  lose(digest: string): Promise<void> {
    return this.watch.onLost(RUNNER, { digest, sentAtMs: this.nowMs - 10 });
  }
}

describe("a run that was lost with its connection", () => {
  it("makes a suspect where the server's port is closed", async () => {
    const site = new Site();
    await Promise.all([site.lose("one"), site.lose("other")]);
    assert.ok(
      site.suspects.isSuspect("one") && site.suspects.isSuspect("other"),
    );
    assert.equal([site.looks, site.evidence], [1, 1]);
  });

  it("makes none where the server lives", async () => {
    // Its connection was reset on the way, or broke with its group.
    const site = new Site();
    site.port = "open";
    await site.lose("one");
    site.watch.onCrashed(RUNNER.id);
    assert.not.ok(site.suspects.isSuspect("one"));
  });

  it("makes one when a refusal names the server, or it starts again", async () => {
    // Its VM is dark: nothing tells at once that the server is gone.
    const site = new Site();
    site.port = "silent";
    await site.lose("one");
    assert.not.ok(site.suspects.isSuspect("one"));
    site.watch.onCrashed("r2");
    assert.not.ok(site.suspects.isSuspect("one"));
    site.watch.onCrashed(RUNNER.id);
    assert.ok(site.suspects.isSuspect("one"));
  });

  it("makes none for what happens to the server much later", async () => {
    const site = new Site();
    site.port = "silent";
    await site.lose("one");
    site.nowMs += PENDING_MS;
    site.watch.onCrashed(RUNNER.id);
    assert.not.ok(site.suspects.isSuspect("one"));
    assert.is(site.evidence, 0);
  });
});
