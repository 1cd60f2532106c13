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

function entry(name: string, appendsPerSecond = 1000): ClaimCoordinator {
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

describe("claims of an entry", () => {
  it("dispatch a call only after its claim was read back", () => {
    const own = entry("e1");
    const begun = own.begin(request(), NOW_MS);
    assert.equal(kinds(begun), ["append"]);
    const batch = batchOf(begun);
    own.onAppendAnswered(SHARD, batch.nonce, NOW_MS + 1);
    const read = own.onRead(SHARD, 0, [record(0, batch)], NOW_MS + 2);
    assert.equal(kinds(read), ["dispatch"]);
  });

  describe("when two entries claim one call", () => {
    // A caller times out at one entry and repeats at another. Both append a
    // claim; the log puts one first. The other entry must ask the agent of the
    // first, and its caller gets the first one's answer.
    it("the second in log order attaches to the first", () => {
      const [first, second] = [entry("e1"), entry("e2")];
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
    // The append took effect, but the entry hears of a failure and appends the
    // claim again. The first copy wins; the second one changes nothing.
    it("the copy counts once", () => {
      const own = entry("e1");
      const batch = batchOf(own.begin(request(), NOW_MS));
      own.onAppendFailed(SHARD, batch.nonce, NOW_MS + 5);
      const again = batchOf(own.tick(NOW_MS + 200));
      const records = [record(0, batch), record(1, again)];
      const read = own.onRead(SHARD, 0, records, NOW_MS + 201);
      assert.equal(kinds(read), ["dispatch"]);
    });
  });

  describe("during a log outage", () => {
    // Nothing can be appended or read. The wait is bounded. Another entry may
    // have claimed the caller's key, so nobody here can say "not run" of it; a
    // key that was made here is known to nobody else.
    it("refuse truthfully after a bounded wait", () => {
      const own = entry("e1");
      own.begin(request(), NOW_MS);
      own.begin(request({ call: "b", isOwnKey: true }), NOW_MS);
      assert.equal(kinds(own.tick(NOW_MS + WAIT_MS - 1)), []);
      const [first, second] = own.tick(NOW_MS + WAIT_MS);
      assert.is(outcomeOf([first]), "unknown");
      assert.is(outcomeOf([second]), "not-run");
    });

    // The claim of a call that was given up lands after the outage. Its caller
    // was told "unknown" and may repeat elsewhere; the attempt must neither be
    // dispatched any more nor hold the repeat up.
    it("release a claim that lands too late", () => {
      const own = entry("e1");
      const batch = batchOf(own.begin(request(), NOW_MS));
      own.tick(NOW_MS + WAIT_MS);
      const landed = own.onRead(SHARD, 0, [record(0, batch)], NOW_MS + WAIT_MS);
      assert.not.ok(kinds(landed).includes("dispatch"));
      const late = own.tick(NOW_MS + WAIT_MS + 100);
      assert.equal(kinds(late), ["append"]);
      assert.is(batchOf(late).entries[0].kind, "release");
    });
  });

  describe("when the entry that holds a claim has died", () => {
    // It died between reading its claim and dispatching. Its agent, asked after
    // a grace time, writes a tombstone, and only then the repeat may run.
    it("a repeat runs the call after the agent's tombstone", () => {
      const [dead, own] = [entry("e1"), entry("e2")];
      const claimed = record(0, batchOf(dead.begin(request(), NOW_MS)));
      own.onRead(SHARD, 0, [claimed], NOW_MS);
      const [ask] = own.begin(request(), NOW_MS);
      assert.is(ask.kind === "ask" && ask.tombstone, false);
      own.onAgentAnswer("a", { kind: "waiting" }, NOW_MS);
      const [again] = own.tick(NOW_MS + START_GRACE_MS);
      assert.is(again.kind === "ask" && again.tombstone, true);
      const answer = { kind: "tombstoned" } as const;
      const laterMs = NOW_MS + START_GRACE_MS;
      const batch = batchOf(own.onAgentAnswer("a", answer, laterMs));
      const entries = batch.entries.map(({ kind }) => kind);
      assert.equal(entries, ["release", "claim"]);
      const read = own.onRead(SHARD, 0, [record(1, batch)], laterMs);
      assert.equal(kinds(read), ["dispatch"]);
    });

    // The agent died as well and came back: it can't know what the incarnation
    // before it had started.
    it("says unknown when the agent is of another incarnation", () => {
      const [dead, own] = [entry("e1"), entry("e2")];
      const claimed = record(0, batchOf(dead.begin(request(), NOW_MS)));
      own.onRead(SHARD, 0, [claimed], NOW_MS);
      own.begin(request(), NOW_MS);
      const answer = { kind: "other-incarnation" } as const;
      assert.is(outcomeOf(own.onAgentAnswer("a", answer, NOW_MS)), "unknown");
    });
  });

  describe("when every backend server refuses a call", () => {
    // The entry is out of time and its attempt never started. "Not run" must
    // stay true, so the key is closed in the log before the caller is told.
    it("close its key before they say not run", () => {
      const own = entry("e1");
      const batch = batchOf(own.begin(request(), NOW_MS));
      own.onRead(SHARD, 0, [record(0, batch)], NOW_MS);
      const lateMs = NOW_MS + WAIT_MS;
      const refused = own.onRefused("a", lateMs);
      assert.equal(kinds(refused), ["append"]);
      const close = record(1, batchOf(refused));
      const told = own.onRead(SHARD, 0, [close], lateMs);
      assert.is(outcomeOf(told), "not-run");
      const repeat = own.begin(request({ call: "b" }), lateMs);
      assert.is(outcomeOf(repeat), "not-run");
    });
  });

  describe("of a reader whose log was trimmed", () => {
    // A claim of the key may have been trimmed before this entry read it.
    it("refuse an older key with an unknown outcome", () => {
      const own = entry("e1");
      const laterMs = NOW_MS + 1_800_000;
      own.onRead(SHARD, 5, [], laterMs);
      assert.is(outcomeOf(own.begin(request(), laterMs)), "unknown");
    });
  });

  it("commit many calls by one append", () => {
    const own = entry("e1", 20);
    own.begin(request({ call: "first" }), NOW_MS);
    for (let call = 0; call < 100; call += 1) {
      own.begin(request({ call: `call-${call}` }), NOW_MS);
    }
    const later = own.onAppendAnswered(SHARD, "e1.1-1", NOW_MS + 60);
    assert.is(batchOf(later).entries.length, 100);
  });

  it("keep the accounts apart that send one key", () => {
    const own = entry("e1");
    const batch = batchOf(own.begin(request(), NOW_MS));
    own.onRead(SHARD, 0, [record(0, batch)], NOW_MS);
    const other = { account: "mains", key: KEY };
    assert.is(own.statusOf(other).kind, "free");
  });
});
