/**
 * Fuzz target `suspects`: crashes, ends and sharing in any order over several
 * entries, some of which start again.
 *
 * Oracle: for each entry the facts that it can have heard of, and a plain search
 * for the longest chain of runs that began one after the other's loss.
 */
import fc from "fast-check";
import {
  CRASHES_UNTIL_WITHHELD,
  SuspectRequests,
} from "../../src/suspects/suspect-requests.js";
import type { CrashedRun, SuspectRecord } from "../../src/suspects/types.js";
import { runJudged } from "../run-judged.js";
import type { FuzzTarget } from "../target.js";

const ENTRIES = 3;
const DIGESTS = ["a", "b"] as const;
const RUNNERS = 4;
const START_MS = 1_790_000_000_000;
const LONGEST_RUN_MS = 3000;
/** All waits of a history stay below the time that a suspect is kept. */
const LONGEST_WAIT_MS = 1500;
const LONGEST_HISTORY = 30;
/** A runner is down for this time after a crash, ms. */
const DOWN_MS = 1500;

type Digest = (typeof DIGESTS)[number];

type Command =
  | {
      readonly kind: "crash";
      readonly digest: Digest;
      readonly runner: number;
      readonly runMs: number;
      /** Entries that each had such a request there. */
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
      runMs: fc.integer({ min: 1, max: LONGEST_RUN_MS }),
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
      durationMs: fc.integer({ min: 1, max: LONGEST_WAIT_MS }),
    }),
  },
);

const history: fc.Arbitrary<History> = fc.record({
  steps: fc.array(command, { minLength: 1, maxLength: LONGEST_HISTORY }),
});

/** A crash or an end, as an entry can have heard of it. */
type Fact =
  | { readonly kind: "run"; readonly digest: Digest; readonly run: CrashedRun }
  | { readonly kind: "end"; readonly digest: Digest; readonly atMs: number };

interface KnownEntry {
  suspects: SuspectRequests;
  /** Seen here; and heard of from others. */
  readonly own: Set<Fact>;
  readonly heard: Set<Fact>;
  /** What it has written last, with the facts in it. */
  written: { readonly record: SuspectRecord; readonly facts: Set<Fact> };
}

class SuspectsWorld {
  nowMs = START_MS;
  private readonly downUntilMs = new Map<number, number>();
  readonly entries: readonly KnownEntry[] = Array.from(
    { length: ENTRIES },
    () => this.start(),
  );

  play(step: Command): void {
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

  private start(): KnownEntry {
    const suspects = SuspectRequests.create(() => this.nowMs);
    const written = { record: suspects.record(), facts: new Set<Fact>() };
    return { suspects, own: new Set(), heard: new Set(), written };
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
    const fact: Fact = { kind: "run", digest: step.digest, run };
    for (const at of entries) {
      const { suspects, own } = this.entries[at];
      suspects.noteCrash(step.digest, run);
      own.add(fact);
      this.write(this.entries[at]);
    }
  }

  private end(known: KnownEntry, ended: Digest): void {
    if (crashesKnown(known, ended) === 0) return;
    known.suspects.acquit(ended);
    known.own.add({ kind: "end", digest: ended, atMs: this.nowMs });
    this.write(known);
  }

  private write(known: KnownEntry): void {
    const record = known.suspects.record();
    known.written = { record, facts: new Set(known.own) };
  }

  private share(from: KnownEntry, to: KnownEntry): void {
    if (from === to) return;
    to.suspects.take(from.written.record, "start");
    for (const fact of from.written.facts) to.heard.add(fact);
  }

  /** It knows what it has written, and hears of the others again. */
  private restart(known: KnownEntry): void {
    known.suspects = SuspectRequests.create(() => this.nowMs);
    known.heard.clear();
    known.suspects.take(known.written.record, "own");
  }
}

function crashesKnown({ own, heard }: KnownEntry, wanted: Digest): number {
  const facts = [...own, ...heard].filter((fact) => fact.digest === wanted);
  const ends = facts.flatMap((fact) => (fact.kind === "end" ? fact.atMs : []));
  const sinceMs = Math.max(Number.NEGATIVE_INFINITY, ...ends);
  const runs = facts.flatMap((fact) => (fact.kind === "run" ? fact.run : []));
  return longestChain(runs, sinceMs);
}

function longestChain(runs: readonly CrashedRun[], sinceMs: number): number {
  const next = runs.filter(({ sentAtMs }) => sentAtMs >= sinceMs);
  const lengths = next.map(({ lostAtMs }) => 1 + longestChain(next, lostAtMs));
  return Math.max(0, ...lengths);
}

/** Plays a history; returns what the oracle found after its first bad step. */
export function judgeSuspects({ steps }: History): readonly string[] {
  const world = new SuspectsWorld();
  for (const step of steps) {
    world.play(step);
    const faults = world.entries.flatMap((known, at) =>
      DIGESTS.flatMap((one) => faultsOf(known, at, one)),
    );
    if (faults.length > 0) return faults;
  }
  return [];
}

function faultsOf(
  known: KnownEntry,
  at: number,
  one: Digest,
): readonly string[] {
  const wanted = crashesKnown(known, one);
  const found = known.suspects.crashesOf(one);
  const isWithheld = known.suspects.isWithheld(one);
  const faults: string[] = [];
  if (found !== wanted) {
    faults.push(`entry ${at} counts ${found} crashes of ${one}, not ${wanted}`);
  }
  if (isWithheld !== wanted >= CRASHES_UNTIL_WITHHELD) {
    faults.push(`entry ${at} withholds ${one}: ${isWithheld}`);
  }
  return faults;
}

export const suspectsTarget: FuzzTarget = {
  name: "suspects",
  mutations: {},
  run: (settings) =>
    Promise.resolve(
      runJudged(settings, {
        history,
        judge: judgeSuspects,
        title: () => "suspects",
      }),
    ),
};
