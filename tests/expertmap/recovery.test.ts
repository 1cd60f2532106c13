import * as assert from "uvu/assert";
import {
  createEvenMap,
  GroupFormation,
  hashExpertMap,
  ignoreEvents,
  MapStaging,
  StagingFetch,
  WeightFetch,
  weightsOf,
} from "../../src/internal.js";
import { MapRegister } from "../../standins/map-register.js";
import { describe, it } from "../support/describe.js";

const first = { number: 1, author: "a#1" };
const second = { number: 2, author: "b#1" };
const third = { number: 3, author: "b#1" };
const members = [
  { member: "a", ranks: [0] },
  { member: "b", ranks: [1] },
];
const shape = { ranks: 2, layers: 1, experts: 2, slotsPerRank: 2 };
const map = createEvenMap(shape);
const mapHash = hashExpertMap(map);
const weights = weightsOf(map, [0]);

const engineA = { member: "a", engine: "a#1", bytesPerExpert: 1 };

/** Sealed reply of an engine that remembers no group. */
const unformedReply = {
  kind: "sealed",
  group: null,
  version: 0,
  map: null,
  armed: null,
  armedMap: null,
  rejected: false,
} as const;

function createFormation(): GroupFormation {
  return GroupFormation.create(
    {
      member: "a",
      agent: "a#1",
      random: () => 0,
      emit: ignoreEvents,
      mayGoForward: true,
    },
    { version: 1, map },
  );
}

function joinedRegister(): MapRegister {
  const register = MapRegister.create(engineA);
  register.call({ kind: "seal", formation: first }, 0);
  register.call({ kind: "stage", mapHash, weights }, 0);
  for (const weight of weights) register.putWeight(weight, 0, 1);
  const join = { kind: "join", formation: first, members } as const;
  register.call({ ...join, version: 1, map }, 0);
  return register;
}

describe("recovery of a group", () => {
  // Two members joined different formations. Each one's state looks complete,
  // but both are stalled; without comparing incarnations they would stay
  // stalled.
  it("starts a formation when a stalled member is in another incarnation", () => {
    const groupFormation = createFormation();
    groupFormation.setMembers(members);
    const state = joinedRegister().state(0);
    const sent: string[] = [];
    const run = (until: number): void => {
      for (let now = 0; now <= until; now += 100) {
        groupFormation.tick(state, now, (_to, { kind }) => sent.push(kind));
      }
    };
    run(2_000);
    assert.not(sent.includes("seal"));
    groupFormation.receiveStanding("b", second);
    run(4_000);
    assert.ok(sent.includes("seal"));
  });

  // After a formation, the last state that an agent read from its own engine
  // may predate it. A needless second formation would end every proposal in the
  // new group.
  it("starts no second formation on an outdated state of its own engine", () => {
    const groupFormation = createFormation();
    groupFormation.setMembers(members);
    const outdatedState = MapRegister.create(engineA).state(0);
    const sent: string[] = [];
    let now = 0;
    const run = (durationMs: number): void => {
      for (const until = now + durationMs; now < until; now += 20) {
        groupFormation.tick(outdatedState, now, (_to, { kind }) =>
          sent.push(kind),
        );
      }
    };
    run(1_000);
    assert.ok(sent.includes("seal"));
    const formation = { number: 1, author: "a#1" };
    for (const { member } of members) {
      groupFormation.receive(member, { ...unformedReply, formation }, now);
    }
    run(100);
    for (const { member } of members) {
      groupFormation.receive(member, { kind: "joined", formation }, now);
    }
    sent.length = 0;
    run(400);
    assert.not(sent.includes("seal"));
  });

  // An armed engine is sealed to a formation that chooses another map. If it
  // didn't stage that map's weights, it could never join and the group would
  // stall.
  it("lets an armed engine stage for a formation while it holds", () => {
    const register = joinedRegister();
    register.call({ kind: "stage", mapHash: "next", weights }, 0);
    const proposal = {
      id: first,
      group: first,
      version: 2,
      mapHash: "next",
      step: 1,
      participants: [],
    };
    assert.ok(register.call({ kind: "arm", proposal, map }, 0).accepted);
    const stage = { kind: "stage", mapHash, weights } as const;
    assert.not(register.call(stage, 0).accepted);
    register.call({ kind: "seal", formation: third }, 0);
    assert.ok(register.call(stage, 0).accepted);
    register.call({ kind: "commit", proposal }, 0);
    register.step = 1;
    assert.ok(register.mustHold(0));
  });

  // An engine restarts after its weights were fetched and stages the same map
  // again. Unless its agent detects this, the weights are never fetched again.
  it("stages again when a restarted engine lacks fetched weights", () => {
    const staging = MapStaging.create("a", "a#1");
    const settings = { bytesPerExpert: 1, bytesPerSecond: 1000, partBytes: 1 };
    const fetch = WeightFetch.create(settings, () => 0);
    const stagingFetch = StagingFetch.create("a", staging, fetch);
    const state = joinedRegister().state(0);
    staging.stage(
      "a",
      { kind: "stage", group: first, version: 2, map },
      state,
      0,
    );
    stagingFetch.start({ kind: "stage", mapHash, weights }, []);
    const lacking = { ...state, stagingHash: mapHash, stagingComplete: false };
    assert.is(stagingFetch.resumeCall(lacking)?.kind, "stage");
    const whole = { ...lacking, stagingComplete: true };
    assert.is(stagingFetch.resumeCall(whole), undefined);
  });
});
