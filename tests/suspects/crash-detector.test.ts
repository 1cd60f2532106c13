import * as assert from "uvu/assert";
import {
  CrashDetector,
  DETECTION_WINDOW_MS,
  type PortState,
} from "../../src/suspects/crash-detector.js";
import { SuspectParts } from "../../src/suspects/suspect-parts.js";
import { SuspectRequests } from "../../src/suspects/suspect-requests.js";
import { describe, it } from "../support/describe.js";

const RUNNER = { id: "r1", address: "10.0.0.1:1" };

class DetectorFixture {
  nowMs = 1_790_000_000_000;
  port: PortState = "closed";
  probes = 0;
  evidenceCalls = 0;
  readonly samePart: unknown[] = [];
  readonly suspects = SuspectRequests.create(() => this.nowMs);
  readonly parts = SuspectParts.create(() => this.nowMs);
  readonly detector = CrashDetector.create({
    now: () => this.nowMs,
    emit: (number, fields) => {
      if (number === 231) this.samePart.push(fields?.samePart);
    },
    suspects: this.suspects,
    parts: this.parts,
    portState: () => {
      this.probes += 1;
      return Promise.resolve(this.port);
    },
    onEvidence: () => {
      this.evidenceCalls += 1;
    },
  });

  loseRun(digest: string, parts: readonly string[] = []): Promise<void> {
    return this.detector.onLost(RUNNER, {
      digest,
      parts,
      sentAtMs: this.nowMs - 10,
    });
  }
}

describe("a run that was lost with its connection", () => {
  it("makes a suspect where the server's port is closed", async () => {
    const fixture = new DetectorFixture();
    await Promise.all([fixture.loseRun("one"), fixture.loseRun("other")]);
    assert.ok(
      fixture.suspects.isSuspect("one") && fixture.suspects.isSuspect("other"),
    );
    assert.equal([fixture.probes, fixture.evidenceCalls], [1, 1]);
  });

  it("tells in how many crashes a part of its prompt was lost", async () => {
    // Requests that crash servers may have one part of their prompts in common
    // and differ otherwise.
    const fixture = new DetectorFixture();
    for (const digest of ["one", "two", "three"]) {
      await fixture.loseRun(digest, [digest, "common"]);
      fixture.nowMs += 5000;
    }
    assert.equal(fixture.samePart, [1, 2, 3]);
  });

  it("makes none where the server is alive", async () => {
    // The connection was reset on the way, or broke with its group.
    const fixture = new DetectorFixture();
    fixture.port = "open";
    await fixture.loseRun("one");
    fixture.detector.onCrashed(RUNNER.id);
    assert.not.ok(fixture.suspects.isSuspect("one"));
  });

  it("makes one when a refusal names the server or it restarts", async () => {
    // The VM is unreachable, so nothing shows at once that the server is gone.
    const fixture = new DetectorFixture();
    fixture.port = "silent";
    await fixture.loseRun("one");
    assert.not.ok(fixture.suspects.isSuspect("one"));
    fixture.detector.onCrashed("r2");
    assert.not.ok(fixture.suspects.isSuspect("one"));
    fixture.detector.onCrashed(RUNNER.id);
    assert.ok(fixture.suspects.isSuspect("one"));
  });

  it("makes none if the server crashes much later", async () => {
    const fixture = new DetectorFixture();
    fixture.port = "silent";
    await fixture.loseRun("one");
    fixture.nowMs += DETECTION_WINDOW_MS;
    fixture.detector.onCrashed(RUNNER.id);
    assert.not.ok(fixture.suspects.isSuspect("one"));
    assert.is(fixture.evidenceCalls, 0);
  });
});
