import * as assert from "uvu/assert";
import {
  createEvenMap,
  GroupFormer,
  hashMap,
  ignoreEvents,
  Staging,
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
const mapHash = hashMap(map);
const weights = weightsOf(map, [0]);

const engineA = { member: "a", engine: "a#1", bytesPerExpert: 1 };

/** An engine that remembers no group. */
const unformed = {
  kind: "sealed",
  group: null,
  version: 0,
  map: null,
  armed: null,
  armedMap: null,
  rejected: false,
} as const;

function createFormer(): GroupFormer {
  return GroupFormer.create(
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
  // Two members joined different formations and each looks whole by itself.
  // Their steps stand still, and without a comparison they would for ever.
  it("forms anew when another member stands in another incarnation", () => {
    const former = createFormer();
    former.setMembers(members);
    const state = joinedRegister().state(0);
    const sent: string[] = [];
    const run = (until: number): void => {
      for (let now = 0; now <= until; now += 100) {
        former.tick(state, now, (_to, { kind }) => sent.push(kind));
      }
    };
    run(2_000);
    assert.not(sent.includes("seal"));
    former.heardStanding("b", second);
    run(4_000);
    assert.ok(sent.includes("seal"));
  });

  // A group that forms anew for nothing ends each proposal in it.
  it("doesn't form anew at once when its own engine's state is from before", () => {
    const former = createFormer();
    former.setMembers(members);
    const before = MapRegister.create(engineA).state(0);
    const sent: string[] = [];
    let now = 0;
    const run = (durationMs: number): void => {
      for (const until = now + durationMs; now < until; now += 20) {
        former.tick(before, now, (_to, { kind }) => sent.push(kind));
      }
    };
    run(1_000);
    assert.ok(sent.includes("seal"));
    const formation = { number: 1, author: "a#1" };
    for (const { member } of members) {
      former.receive(member, { ...unformed, formation }, now);
    }
    run(100);
    for (const { member } of members) {
      former.receive(member, { kind: "joined", formation }, now);
    }
    sent.length = 0;
    run(400);
    assert.not(sent.includes("seal"));
  });

  // An engine that is armed is sealed to a formation which takes another map.
  // If it took no weights for it, it could never join and the group stands.
  it("lets an armed engine stage for a formation, and hold meanwhile", () => {
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

  // An engine starts again after its weights were fetched, and names the same
  // map as staged. Its agent must fetch again, or the engine never has them.
  it("asks again what an engine lacks that was thought fetched", () => {
    const staging = Staging.create("a", "a#1");
    const settings = { bytesPerExpert: 1, bytesPerSecond: 1000, partBytes: 1 };
    const fetch = WeightFetch.create(settings, () => 0);
    const tied = StagingFetch.create("a", staging, fetch);
    const state = joinedRegister().state(0);
    staging.stage(
      "a",
      { kind: "stage", group: first, version: 2, map },
      state,
      0,
    );
    tied.start({ kind: "stage", mapHash, weights }, []);
    const lacking = { ...state, stagingHash: mapHash, stagingComplete: false };
    assert.is(tied.resumeCall(lacking)?.kind, "stage");
    const whole = { ...lacking, stagingComplete: true };
    assert.is(tied.resumeCall(whole), undefined);
  });
});
