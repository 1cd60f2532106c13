import * as assert from "uvu/assert";
import {
  chooseMap,
  createEvenMap,
  hashMap,
  lowestBallot,
  mergeVotes,
  outcomeOf,
  voteFromRegister,
  type EngineMapState,
  type Proposal,
  type SealedMessage,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const group = { number: 1, author: "a#1" };
const shape = { ranks: 2, layers: 1, experts: 4, slotsPerRank: 2 };
const present = createEvenMap(shape);
const next = { version: 2, shape, slots: [3, 2, 1, 0] };

const proposal: Proposal = {
  id: { number: 1, author: "a#1" },
  group,
  version: 2,
  mapHash: hashMap(next),
  step: 100,
  participants: [
    { member: "a", agent: "a#1" },
    { member: "b", agent: "b#1" },
  ],
};

const quiet: EngineMapState = {
  engine: "a",
  group,
  members: [],
  sealed: group,
  version: 1,
  mapHash: hashMap(present),
  since: 0,
  origin: null,
  armed: null,
  floor: lowestBallot,
  step: 10,
  stepMs: 5,
  heldMs: 0,
  heldTotalMs: 0,
  stagingHash: "",
  stagingComplete: false,
};

describe("vote in the register", () => {
  it("is open before anything was written", () => {
    assert.is(voteFromRegister(quiet, proposal), undefined);
  });

  it("is a yes while armed and once in force", () => {
    const armed = { ...quiet, armed: { proposal, committed: false } };
    assert.is(voteFromRegister(armed, proposal), true);
    const inForce = { ...quiet, version: 2, origin: proposal.id };
    assert.is(voteFromRegister(inForce, proposal), true);
  });

  it("is a no once refused, overtaken or promised to a formation", () => {
    const refused = { ...quiet, floor: proposal.id };
    const overtaken = { ...quiet, version: 2 };
    const promised = { ...quiet, sealed: { number: 2, author: "b#1" } };
    for (const state of [refused, overtaken, promised]) {
      assert.is(voteFromRegister(state, proposal), false);
    }
  });

  it("tells nothing about another incarnation or an older version", () => {
    const later = { ...quiet, version: 3, floor: proposal.id };
    const elsewhere = { ...later, group: { number: 2, author: "b#1" } };
    assert.is(voteFromRegister(later, proposal), undefined);
    assert.is(voteFromRegister(elsewhere, proposal), undefined);
  });
});

describe("outcome of the votes", () => {
  it("stays open while a vote is missing", () => {
    assert.is(outcomeOf(proposal, new Map([["a", true]])), undefined);
  });

  it("is an abort with one no although another vote is missing", () => {
    assert.is(outcomeOf(proposal, new Map([["b", false]])), "aborted");
  });

  // A member commits on the yes of all. A no that comes afterwards would turn
  // the outcome round at whoever hears it, and ranks would use two maps.
  it("reports a no that contradicts a commit and doesn't take it in", () => {
    const known = new Map([
      ["a", true],
      ["b", true],
    ]);
    const late = [{ member: "b", yes: false }];
    assert.equal(mergeVotes(proposal, known, late), ["b"]);
    assert.is(outcomeOf(proposal, known), "committed");
  });
});

describe("map of a group that forms anew", () => {
  const initial = { version: 1, map: present };
  const formation = { number: 2, author: "a#1" };
  const open: SealedMessage = {
    kind: "sealed",
    formation,
    group,
    version: 1,
    map: present,
    armed: null,
    armedMap: null,
    rejected: false,
  };
  const armed = { ...open, armed: proposal, armedMap: next };
  const fresh = { ...open, group: null, version: 0, map: null };

  // A member dies after all voted yes; the others can't know whether it had
  // told the commit. They are all armed, so it may have been committed.
  it("goes forward when every survivor voted yes", () => {
    assert.equal(chooseMap([armed, fresh], initial), { version: 2, map: next });
  });

  it("goes back when one survivor gave no yes, which rules a commit out", () => {
    assert.is(chooseMap([armed, open, fresh], initial).version, 1);
  });

  it("goes back when a vote against the proposal is known", () => {
    const rejected = { ...armed, rejected: true };
    assert.is(chooseMap([armed, rejected], initial).version, 1);
  });

  it("keeps a map that is in force at only one survivor", () => {
    const switched = { ...open, version: 2, map: next };
    assert.is(chooseMap([armed, switched], initial).map, next);
  });

  it("listens to the latest incarnation alone", () => {
    const later = { ...open, group: formation, version: 5, map: next };
    const stale = { ...open, version: 7 };
    assert.is(chooseMap([stale, later], initial).version, 5);
  });

  it("starts from the recorded map when no engine remembers one", () => {
    const recorded = { version: 9, map: next };
    assert.is(chooseMap([fresh, fresh], recorded), recorded);
  });
});
