/**
 * Fuzz target `suspects`: crashes, completions and sharing in any order at
 * several entries, some of which restart.
 *
 * The oracle keeps the events that each entry can know of and searches them for
 * the longest chain of runs that were each sent after the loss of the one
 * before.
 */
import fc from "fast-check";
import {
  CRASHES_UNTIL_WITHHELD,
  SuspectRequests,
} from "../../src/suspects/suspect-requests.js";
import type { CrashedRun, SuspectRecord } from "../../src/suspects/types.js";
import { runCheckedHistories } from "../run-checked-histories.js";
import type { FuzzTarget } from "../target.js";
import { checkParts, partHistory } from "./parts.js";

const ENTRIES = 3;
const DIGESTS = ["a", "b"] as const;
const RUNNERS = 4;
const START_MS = 1_790_000_000_000;
const MAXIMUM_RUN_MS = 3000;
/** All waits of a history together stay below `SUSPECT_RETENTION_MS`. */
const MAXIMUM_WAIT_MS = 1500;
const MAXIMUM_STEPS = 30;
/** Downtime of a runner after a crash, ms. */
const DOWN_MS = 1500;

type Digest = (typeof DIGESTS)[number];

type Command =
  | {
      readonly kind: "crash";
      readonly digest: Digest;
      readonly runner: number;
      readonly runMs: number;
      /** Entries that each had a run of the request there. */
      readonly entries: readonly number[];
    }
  | { readonly kind: "end"; readonly entry: number; readonly digest: Digest }
  | {
      readonly kind: "share";
      readonly from: number;
      readonly to: number;
    }
  | { readonly kind: "restart"; readonly entry: number }
  | { readonly kind: "wait"; readonly durationMs: number };

interface History {
  readonly steps: readonly Command[];
}

const entry = fc.nat({ max: ENTRIES - 1 });
const digest = fc.constantFrom(...DIGESTS);

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("crash" as const),
      digest,
      runner: fc.nat({ max: RUNNERS - 1 }),
      runMs: fc.integer({ min: 1, max: MAXIMUM_RUN_MS }),
      entries: fc.uniqueArray(entry, { minLength: 1, maxLength: ENTRIES }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("end" as const), entry, digest }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("share" as const),
      from: entry,
      to: entry,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("restart" as const), entry }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      durationMs: fc.integer({ min: 1, max: MAXIMUM_WAIT_MS }),
    }),
  },
);

const history: fc.Arbitrary<History> = fc.record({
  steps: fc.array(command, { minLength: 1, maxLength: MAXIMUM_STEPS }),
});

/** A crash or a completion that an entry can know of. */
type CrashEvent =
  | { readonly kind: "run"; readonly digest: Digest; readonly run: CrashedRun }
  | { readonly kind: "end"; readonly digest: Digest; readonly atMs: number };

interface SimulatedEntry {
  suspects: SuspectRequests;
  /** Events seen by this entry, and events received from others. */
  readonly own: Set<CrashEvent>;
  readonly received: Set<CrashEvent>;
  /** The last published record and the events that it covers. */
  published: {
    readonly record: SuspectRecord;
    readonly events: Set<CrashEvent>;
  };
}

class SuspectsSimulation {
  nowMs = START_MS;
  private readonly downUntilMs = new Map<number, number>();
  readonly entries: readonly SimulatedEntry[] = Array.from(
    { length: ENTRIES },
    () => this.start(),
  );

  apply(step: Command): void {
    switch (step.kind) {
      case "crash":
        this.crash(step);
        return;
      case "end":
        this.end(this.entries[step.entry], step.digest);
        return;
      case "share":
        this.share(this.entries[step.from], this.entries[step.to]);
        return;
      case "restart":
        this.restart(this.entries[step.entry]);
        return;
      case "wait":
        this.nowMs += step.durationMs;
    }
  }

  private start(): SimulatedEntry {
    const suspects = SuspectRequests.create(() => this.nowMs);
    const written = {
      record: suspects.ownRecord(),
      events: new Set<CrashEvent>(),
    };
    return {
      suspects,
      own: new Set(),
      received: new Set(),
      published: written,
    };
  }

  private crash(step: Extract<Command, { kind: "crash" }>): void {
    const { runner, runMs, entries } = step;
    if ((this.downUntilMs.get(runner) ?? 0) > this.nowMs) return;
    this.downUntilMs.set(runner, this.nowMs + DOWN_MS);
    const run = {
      runner: `r${runner}`,
      sentAtMs: this.nowMs - runMs,
      lostAtMs: this.nowMs,
    };
    const event: CrashEvent = { kind: "run", digest: step.digest, run };
    for (const index of entries) {
      const { suspects, own } = this.entries[index];
      suspects.addOwnRun(step.digest, run);
      own.add(event);
      this.publish(this.entries[index]);
    }
  }

  private end(entryState: SimulatedEntry, ended: Digest): void {
    if (expectedCrashes(entryState, ended) === 0) return;
    entryState.suspects.acquit(ended);
    entryState.own.add({ kind: "end", digest: ended, atMs: this.nowMs });
    this.publish(entryState);
  }

  private publish(entryState: SimulatedEntry): void {
    const record = entryState.suspects.ownRecord();
    entryState.published = { record, events: new Set(entryState.own) };
  }

  private share(from: SimulatedEntry, to: SimulatedEntry): void {
    if (from === to) return;
    to.suspects.merge(from.published.record, "start");
    for (const event of from.published.events) to.received.add(event);
  }

  /**
   * After a restart the entry reads its own record and receives those of the
   * others again.
   */
  private restart(entryState: SimulatedEntry): void {
    entryState.suspects = SuspectRequests.create(() => this.nowMs);
    entryState.received.clear();
    entryState.suspects.merge(entryState.published.record, "own");
  }
}

function expectedCrashes(
  { own, received }: SimulatedEntry,
  target: Digest,
): number {
  const events = [...own, ...received].filter(
    (event) => event.digest === target,
  );
  const ends = events.flatMap((item) => (item.kind === "end" ? item.atMs : []));
  const sinceMs = Math.max(Number.NEGATIVE_INFINITY, ...ends);
  const runs = events.flatMap((item) => (item.kind === "run" ? item.run : []));
  return longestChain(runs, sinceMs);
}

function longestChain(runs: readonly CrashedRun[], sinceMs: number): number {
  const next = runs.filter(({ sentAtMs }) => sentAtMs >= sinceMs);
  const lengths = next.map(({ lostAtMs }) => 1 + longestChain(next, lostAtMs));
  return Math.max(0, ...lengths);
}

/** Runs a history; returns the violations after its first failing step. */
export function checkSuspects({ steps }: History): readonly string[] {
  const simulation = new SuspectsSimulation();
  for (const step of steps) {
    simulation.apply(step);
    const violations = simulation.entries.flatMap((entryState, index) =>
      DIGESTS.flatMap((target) => violationsOf(entryState, index, target)),
    );
    if (violations.length > 0) return violations;
  }
  return [];
}

function violationsOf(
  entryState: SimulatedEntry,
  index: number,
  target: Digest,
): readonly string[] {
  const expected = expectedCrashes(entryState, target);
  const actual = entryState.suspects.crashesOf(target);
  const isWithheld = entryState.suspects.isWithheld(target);
  const violations: string[] = [];
  if (actual !== expected) {
    violations.push(
      `entry ${index} counts ${actual} crashes of ${target}, expected ${expected}`,
    );
  }
  if (isWithheld !== expected >= CRASHES_UNTIL_WITHHELD) {
    violations.push(`entry ${index} withholds ${target}: ${isWithheld}`);
  }
  return violations;
}

export const suspectsTarget: FuzzTarget = {
  name: "suspects",
  mutations: { "no-survivors": 300, "no-sharing": 300 },
  run: (settings) => {
    const parts = runCheckedHistories(settings, {
      history: partHistory,
      check: (input) => checkParts(input, settings.mutation),
      title: () => "parts",
    });
    if (parts.violations > 0) return Promise.resolve(parts);
    return Promise.resolve(
      runCheckedHistories(settings, {
        history,
        check: checkSuspects,
        title: () => "suspects",
      }),
    );
  },
};
