import * as assert from "uvu/assert";
import {
  ClaimCoordinator,
  encodeClaimBatch,
  errorTable,
  ignoreEvents,
  shardOf,
  START_GRACE_MS,
  type ClaimBatch,
  type ClaimEffect,
  type ClaimRequest,
  type LogRecord,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const NOW_MS = 1_800_000_000_000;
const WAIT_MS = 2_000;
const KEY = "01a3185c-5000-7000-8000-000000000001";
const SHARD = shardOf({ account: "crews", key: KEY });

let ids = 0;
function newAttempt(): string {
  ids += 1;
  return `01a3185c-5000-7000-9000-${String(ids).padStart(12, "0")}`;
}

function createEntry(name: string, appendsPerSecond = 1000): ClaimCoordinator {
  return ClaimCoordinator.create({
    entry: name,
    entryIncarnation: `${name}.1`,
    appendsPerSecond,
    newAttempt,
    chooseAgent: () => ({ agent: "runner-1", agentIncarnation: "i1" }),
    emit: ignoreEvents,
  });
}

function request(change: Partial<ClaimRequest> = {}): ClaimRequest {
  const identity = { account: "crews", key: KEY, isOwnKey: false };
  return { call: "a", ...identity, giveUpAtMs: NOW_MS + WAIT_MS, ...change };
}

function kinds(effects: readonly ClaimEffect[]): readonly string[] {
  return effects.map(({ kind }) => kind);
}

function batchOf(effects: readonly ClaimEffect[]): ClaimBatch {
  const append = effects.find((effect) => effect.kind === "append");
  assert.ok(append?.kind === "append");
  return append.batch;
}

function record(offset: number, batch: ClaimBatch): LogRecord {
  return { offset, appendedAtMs: NOW_MS, data: encodeClaimBatch(batch) };
}

function outcomeOf(effects: readonly ClaimEffect[]): string {
  const refusal = effects.find((effect) => effect.kind === "refuse");
  assert.ok(refusal?.kind === "refuse");
  return errorTable[refusal.error].outcome;
}

describe("claim coordinator of an entry", () => {
  it("dispatches a call only after its claim was read back", () => {
    const coordinator = createEntry("e1");
    const begun = coordinator.begin(request(), NOW_MS);
    assert.equal(kinds(begun), ["append"]);
    const batch = batchOf(begun);
    coordinator.onAppendAnswered(SHARD, batch.nonce, NOW_MS + 1);
    const read = coordinator.onRead(SHARD, 0, [record(0, batch)], NOW_MS + 2);
    assert.equal(kinds(read), ["dispatch"]);
  });

  describe("when two entries claim one call", () => {
    // A caller times out at one entry and repeats the call at another. Both
    // append a claim, and the first in log order wins. The other entry must
    // query the winner's agent and return the winner's answer.
    it("attaches the second in log order to the first", () => {
      const [first, second] = [createEntry("e1"), createEntry("e2")];
      const records = [
        record(0, batchOf(first.begin(request(), NOW_MS))),
        record(1, batchOf(second.begin(request(), NOW_MS))),
      ];
      assert.equal(kinds(first.onRead(SHARD, 0, records, NOW_MS)), [
        "dispatch",
      ]);
      assert.equal(kinds(second.onRead(SHARD, 0, records, NOW_MS)), ["ask"]);
      const answer = { kind: "started" } as const;
      assert.equal(kinds(second.onAgentAnswer("a", answer, NOW_MS)), [
        "attach",
      ]);
    });
  });

  describe("when the answer of an append is lost", () => {
    // The append took effect, but the entry sees a failure and appends the
    // claim again. The first copy wins; the second must change nothing.
    it("counts the duplicated claim once", () => {
      const coordinator = createEntry("e1");
      const batch = batchOf(coordinator.begin(request(), NOW_MS));
      coordinator.onAppendFailed(SHARD, batch.nonce, NOW_MS + 5);
      const again = batchOf(coordinator.tick(NOW_MS + 200));
      const records = [record(0, batch), record(1, again)];
      const read = coordinator.onRead(SHARD, 0, records, NOW_MS + 201);
      assert.equal(kinds(read), ["dispatch"]);
    });
  });

  describe("during a log outage", () => {
    // Nothing can be appended or read. Another entry may have claimed a
    // caller's key, so its outcome is unknown; a key that this entry generated
    // can't have been used elsewhere, so "not run" is correct.
    it("refuses with the correct outcome after a bounded wait", () => {
      const coordinator = createEntry("e1");
      coordinator.begin(request(), NOW_MS);
      coordinator.begin(request({ call: "b", isOwnKey: true }), NOW_MS);
      assert.equal(kinds(coordinator.tick(NOW_MS + WAIT_MS - 1)), []);
      const [first, second] = coordinator.tick(NOW_MS + WAIT_MS);
      assert.is(outcomeOf([first]), "unknown");
      assert.is(outcomeOf([second]), "not-run");
    });

    // The claim of a call that was refused during the outage is appended after
    // it. The caller got "unknown" and may repeat the call elsewhere, so the
    // attempt must not be dispatched and must not block the repeat.
    it("releases a claim that is appended too late", () => {
      const coordinator = createEntry("e1");
      const batch = batchOf(coordinator.begin(request(), NOW_MS));
      coordinator.tick(NOW_MS + WAIT_MS);
      const lateRead = coordinator.onRead(
        SHARD,
        0,
        [record(0, batch)],
        NOW_MS + WAIT_MS,
      );
      assert.not.ok(kinds(lateRead).includes("dispatch"));
      const late = coordinator.tick(NOW_MS + WAIT_MS + 100);
      assert.equal(kinds(late), ["append"]);
      assert.is(batchOf(late).entries[0].kind, "release");
    });
  });

  describe("when the entry that holds a claim has died", () => {
    // It died between reading its claim and the dispatch. After the grace time
    // its agent writes a tombstone, and only then may the repeat run.
    it("runs a repeat after the agent's tombstone", () => {
      const [stopped, coordinator] = [createEntry("e1"), createEntry("e2")];
      const claimed = record(0, batchOf(stopped.begin(request(), NOW_MS)));
      coordinator.onRead(SHARD, 0, [claimed], NOW_MS);
      const [ask] = coordinator.begin(request(), NOW_MS);
      assert.is(ask.kind === "ask" && ask.tombstone, false);
      coordinator.onAgentAnswer("a", { kind: "waiting" }, NOW_MS);
      const [again] = coordinator.tick(NOW_MS + START_GRACE_MS);
      assert.is(again.kind === "ask" && again.tombstone, true);
      const answer = { kind: "tombstoned" } as const;
      const laterMs = NOW_MS + START_GRACE_MS;
      const batch = batchOf(coordinator.onAgentAnswer("a", answer, laterMs));
      const entries = batch.entries.map(({ kind }) => kind);
      assert.equal(entries, ["release", "claim"]);
      const read = coordinator.onRead(SHARD, 0, [record(1, batch)], laterMs);
      assert.equal(kinds(read), ["dispatch"]);
    });

    // The agent restarted as well and doesn't know which attempts its previous
    // incarnation started.
    it("refuses with an unknown outcome after the agent restarted", () => {
      const [stopped, coordinator] = [createEntry("e1"), createEntry("e2")];
      const claimed = record(0, batchOf(stopped.begin(request(), NOW_MS)));
      coordinator.onRead(SHARD, 0, [claimed], NOW_MS);
      coordinator.begin(request(), NOW_MS);
      const answer = { kind: "other-incarnation" } as const;
      assert.is(
        outcomeOf(coordinator.onAgentAnswer("a", answer, NOW_MS)),
        "unknown",
      );
    });
  });

  describe("when every backend server refuses a call", () => {
    // The wait has expired and the attempt never started. "Not run" must remain
    // correct, so the key is closed in the log before the caller is answered.
    it("closes its key before refusing it as not run", () => {
      const coordinator = createEntry("e1");
      const batch = batchOf(coordinator.begin(request(), NOW_MS));
      coordinator.onRead(SHARD, 0, [record(0, batch)], NOW_MS);
      const lateMs = NOW_MS + WAIT_MS;
      const refused = coordinator.onRefused("a", lateMs);
      assert.equal(kinds(refused), ["append"]);
      const close = record(1, batchOf(refused));
      const effects = coordinator.onRead(SHARD, 0, [close], lateMs);
      assert.is(outcomeOf(effects), "not-run");
      const repeat = coordinator.begin(request({ call: "b" }), lateMs);
      assert.is(outcomeOf(repeat), "not-run");
    });
  });

  describe("when the log was trimmed unread", () => {
    // A claim of the key may have been trimmed before this entry read it.
    it("refuses an older key with an unknown outcome", () => {
      const coordinator = createEntry("e1");
      const laterMs = NOW_MS + 1_800_000;
      coordinator.onRead(SHARD, 5, [], laterMs);
      assert.is(outcomeOf(coordinator.begin(request(), laterMs)), "unknown");
    });
  });

  it("commits many calls with one append", () => {
    const coordinator = createEntry("e1", 20);
    coordinator.begin(request({ call: "first" }), NOW_MS);
    for (let call = 0; call < 100; call += 1) {
      coordinator.begin(request({ call: `call-${call}` }), NOW_MS);
    }
    const later = coordinator.onAppendAnswered(SHARD, "e1.1-1", NOW_MS + 60);
    assert.is(batchOf(later).entries.length, 100);
  });

  it("keeps equal keys of different accounts apart", () => {
    const coordinator = createEntry("e1");
    const batch = batchOf(coordinator.begin(request(), NOW_MS));
    coordinator.onRead(SHARD, 0, [record(0, batch)], NOW_MS);
    const other = { account: "mains", key: KEY };
    assert.is(coordinator.statusOf(other).kind, "free");
  });
});
