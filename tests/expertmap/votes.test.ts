import * as assert from "uvu/assert";
import {
  chooseMap,
  createEvenMap,
  hashExpertMap,
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
const currentMap = createEvenMap(shape);
const nextMap = { version: 2, shape, slots: [3, 2, 1, 0] };

const proposal: Proposal = {
  id: { number: 1, author: "a#1" },
  group,
  version: 2,
  mapHash: hashExpertMap(nextMap),
  step: 100,
  participants: [
    { member: "a", agent: "a#1" },
    { member: "b", agent: "b#1" },
  ],
};

const undecidedState: EngineMapState = {
  engine: "a",
  group,
  members: [],
  sealed: group,
  version: 1,
  mapHash: hashExpertMap(currentMap),
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
  it("is undecided before anything was written", () => {
    assert.is(voteFromRegister(undecidedState, proposal), undefined);
  });

  it("is a yes while armed and once the map is in force", () => {
    const armedState = {
      ...undecidedState,
      armed: { proposal, committed: false },
    };
    assert.is(voteFromRegister(armedState, proposal), true);
    const inForce = { ...undecidedState, version: 2, origin: proposal.id };
    assert.is(voteFromRegister(inForce, proposal), true);
  });

  it("is a no once refused, superseded or sealed to a formation", () => {
    const refusedState = { ...undecidedState, floor: proposal.id };
    const supersededState = { ...undecidedState, version: 2 };
    const sealedState = {
      ...undecidedState,
      sealed: { number: 2, author: "b#1" },
    };
    for (const state of [refusedState, supersededState, sealedState]) {
      assert.is(voteFromRegister(state, proposal), false);
    }
  });

  it("is unknown for another incarnation or an older version", () => {
    const later = { ...undecidedState, version: 3, floor: proposal.id };
    const elsewhere = { ...later, group: { number: 2, author: "b#1" } };
    assert.is(voteFromRegister(later, proposal), undefined);
    assert.is(voteFromRegister(elsewhere, proposal), undefined);
  });
});

describe("outcome of the votes", () => {
  it("stays undecided while a vote is missing", () => {
    assert.is(outcomeOf(proposal, new Map([["a", true]])), undefined);
  });

  it("is an abort after one no even if another vote is missing", () => {
    assert.is(outcomeOf(proposal, new Map([["b", false]])), "aborted");
  });

  // A member commits once all voted yes. If a later no were accepted, its
  // receivers would abort, and ranks would use different maps.
  it("reports and ignores a no that contradicts a commit", () => {
    const known = new Map([
      ["a", true],
      ["b", true],
    ]);
    const late = [{ member: "b", yes: false }];
    assert.equal(mergeVotes(proposal, known, late), ["b"]);
    assert.is(outcomeOf(proposal, known), "committed");
  });
});

describe("map choice of a formation", () => {
  const initial = { version: 1, map: currentMap };
  const formation = { number: 2, author: "a#1" };
  const unarmedReply: SealedMessage = {
    kind: "sealed",
    formation,
    group,
    version: 1,
    map: currentMap,
    armed: null,
    armedMap: null,
    rejected: false,
  };
  const armedReply = { ...unarmedReply, armed: proposal, armedMap: nextMap };
  const unformedReply = { ...unarmedReply, group: null, version: 0, map: null };

  // A member dies after all voted yes. The survivors are all armed and can't
  // know whether it had already sent the commit, so the commit must be assumed.
  it("is the proposed map when every survivor voted yes", () => {
    assert.equal(chooseMap([armedReply, unformedReply], initial), {
      version: 2,
      map: nextMap,
    });
  });

  it("is the old map when one survivor didn't vote yes, which rules out a commit", () => {
    assert.is(
      chooseMap([armedReply, unarmedReply, unformedReply], initial).version,
      1,
    );
  });

  it("is the old map when a no to the proposal is known", () => {
    const rejected = { ...armedReply, rejected: true };
    assert.is(chooseMap([armedReply, rejected], initial).version, 1);
  });

  it("is the new map even if it is in force at only one survivor", () => {
    const switched = { ...unarmedReply, version: 2, map: nextMap };
    assert.is(chooseMap([armedReply, switched], initial).map, nextMap);
  });

  it("depends only on the latest incarnation", () => {
    const later = {
      ...unarmedReply,
      group: formation,
      version: 5,
      map: nextMap,
    };
    const stale = { ...unarmedReply, version: 7 };
    assert.is(chooseMap([stale, later], initial).version, 5);
  });

  it("is the recorded map when no engine remembers one", () => {
    const recorded = { version: 9, map: nextMap };
    assert.is(chooseMap([unformedReply, unformedReply], recorded), recorded);
  });
});
