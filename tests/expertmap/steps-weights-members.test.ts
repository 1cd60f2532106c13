import * as assert from "uvu/assert";
import {
  chooseMembers,
  lowestBallot,
  StepChecker,
  WeightFetch,
  type EngineMapState,
  type StepReport,
  type WeightPart,
} from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const group = { number: 1, author: "a#1" };

const running: EngineMapState = {
  engine: "a",
  group,
  members: [],
  sealed: group,
  version: 1,
  mapHash: "one",
  since: 0,
  origin: null,
  armed: null,
  floor: lowestBallot,
  step: 100,
  stepMs: 5,
  heldMs: 0,
  heldTotalMs: 0,
  stagingHash: "",
  stagingComplete: false,
};

const committed: EngineMapState = {
  ...running,
  armed: {
    committed: true,
    proposal: {
      id: group,
      group,
      version: 2,
      mapHash: "two",
      step: 120,
      participants: [],
    },
  },
};

const report = (step: number, version: number, mapHash: string): StepReport => {
  return { group, step, rank: 3, version, mapHash, durationMs: 5, counts: [] };
};

describe("step checker", () => {
  it("accepts the old map before the switch and the committed map from it on", () => {
    const check = StepChecker.create();
    check.observe(committed);
    const reports = [report(119, 1, "one"), report(120, 2, "two")];
    assert.equal(check.check(reports), []);
  });

  // A rank runs the step of the switch on the old map, or an earlier step on
  // the new map. Tokens would then be routed to the wrong experts.
  it("reports a rank that ran on another map", () => {
    const check = StepChecker.create();
    check.observe(committed);
    const late = check.check([report(120, 1, "one")]);
    assert.match(late[0], /rank 3 step 120/);
    assert.is(check.check([report(119, 2, "two")]).length, 1);
    assert.is(check.check([report(121, 2, "other")]).length, 1);
  });

  it("checks a report of an unknown version once the version is known", () => {
    const check = StepChecker.create();
    check.observe(running);
    assert.equal(check.check([report(120, 2, "other")]), []);
    assert.is(check.observe(committed).length, 1);
  });

  it("reports an engine that switched at another step", () => {
    const check = StepChecker.create();
    check.observe(committed);
    const early = { ...running, version: 2, mapHash: "two", since: 110 };
    assert.is(check.observe(early).length, 1);
  });
});

describe("weight fetch", () => {
  const settings = { bytesPerExpert: 100, bytesPerSecond: 1000, partBytes: 60 };
  const weight = { rank: 0, layer: 0, expert: 7 };

  function started(bytes: number): WeightFetch {
    const fetch = WeightFetch.create(settings, () => 1);
    fetch.start([weight], [{ ...weight, bytes }]);
    return fetch;
  }

  const next = (fetch: WeightFetch, now: number): WeightPart => {
    const part = fetch.nextPart(now);
    if (part === undefined) throw new TypeError("no part is due");
    return part;
  };

  it("resumes from the bytes that the engine holds and ends with the last byte", () => {
    const fetch = started(60);
    const part = next(fetch, 0);
    assert.equal(part, { weight, offset: 60, length: 40 });
    fetch.partArrived(part, 100);
    assert.ok(fetch.isIdle);
    assert.is(fetch.totalBytes, 40);
  });

  it("stays within its share of the store's rate", () => {
    const fetch = started(0);
    fetch.partArrived(next(fetch, 0), 60);
    assert.is(fetch.nextPart(59), undefined);
    assert.is(next(fetch, 60).offset, 60);
  });

  it("backs off after each failure and respects the store's retry delay", () => {
    const fetch = started(0);
    fetch.partFailed(next(fetch, 0), 0, 0);
    assert.is(fetch.nextPart(99), undefined);
    fetch.partFailed(next(fetch, 100), 100, 0);
    assert.is(fetch.nextPart(299), undefined);
    fetch.partFailed(next(fetch, 300), 300, 5000);
    assert.is(fetch.nextPart(5299), undefined);
  });

  // The engine restarted and doesn't accept the part. Fetching the same bytes
  // forever would waste the store's rate.
  it("stops when the engine accepts nothing", () => {
    const fetch = started(60);
    fetch.partArrived(next(fetch, 0), 0);
    assert.ok(fetch.isIdle);
  });
});

describe("members of a group", () => {
  const one = { member: "one", ranks: [0], leaving: false };
  const two = { member: "two", ranks: [1], leaving: false };
  const spare = { member: "a-spare", ranks: [1], leaving: false };
  const names = (
    ...[candidates, currentMembers]: Parameters<typeof choose>
  ): readonly string[] | undefined =>
    choose(candidates, currentMembers)?.map(({ member }) => member);
  const choose = (
    candidates: Parameters<typeof chooseMembers>[0],
    currentMembers: Parameters<typeof chooseMembers>[2],
  ) => chooseMembers(candidates, 2, currentMembers);

  it("stay while they are listed even if another offers their ranks", () => {
    const currentMembers = [one, two];
    assert.equal(names([spare, one, two], currentMembers), ["one", "two"]);
  });

  it("are replaced when they leave and another offers their ranks", () => {
    const leaving = { ...two, leaving: true };
    const currentMembers = [one, two];
    assert.equal(names([one, leaving], currentMembers), ["one", "two"]);
    assert.equal(names([one, leaving, spare], currentMembers), [
      "a-spare",
      "one",
    ]);
  });

  it("aren't chosen while a rank has no candidate", () => {
    assert.is(names([one], [one, two]), undefined);
  });
});
