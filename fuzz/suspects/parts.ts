/**
 * Histories of prompts that share parts, one of which crashes each server, at
 * several entries that share their records, restart, and lose runs to other
 * crashes.
 *
 * Two oracles: once the entries have learned of five crashes with the part, no
 * more than three further requests with it run; and no request is withheld whose
 * parts have been seen to survive and weren't lost again and again since.
 */
import fc from "fast-check";
import { SuspectParts } from "../../src/suspects/suspect-parts.js";
import { CRASHES_IF_ONCE_HARMLESS } from "../../src/suspects/crash-evidence.js";
import type { PartRecord } from "../../src/suspects/types.js";

const ENTRIES = 3;
const START_MS = 1_790_000_000_000;
const STEP_MS = 3000;
const RUN_MS = 200;
const MAXIMUM_STEPS = 40;
const CRASHING_PART = "crashing";
const FIRST_PARTS = ["f0", "f1"] as const;
const SUBJECTS = ["s0", "s1", "s2"] as const;
/** Crashes after which further runs with the part are limited, and the limit. */
const LIMITED_AFTER_CRASHES = 5;
const MAXIMUM_LATE_RUNS = 3;

/** Safeguards that can be switched off. */
export type PartMutation = "no-survivors" | "no-sharing";

type Command =
  | {
      readonly kind: "crashing" | "survive" | "lose";
      readonly entry: number;
      readonly first: string;
      readonly subject: string;
    }
  | { readonly kind: "share" }
  | { readonly kind: "restart"; readonly entry: number };

export interface PartHistory {
  readonly steps: readonly Command[];
}

const entry = fc.nat({ max: ENTRIES - 1 });

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "crashing" as const,
        "survive" as const,
        "lose" as const,
      ),
      entry,
      first: fc.constantFrom(...FIRST_PARTS),
      subject: fc.constantFrom(...SUBJECTS),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant("share" as const) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("restart" as const), entry }),
  },
);

export const partHistory: fc.Arbitrary<PartHistory> = fc.record({
  steps: fc.array(command, { minLength: 1, maxLength: MAXIMUM_STEPS }),
});

class PartsSimulation {
  private nowMs = START_MS;
  private readonly entries: SuspectParts[];
  private readonly records: PartRecord[];
  private runs = 0;
  private crashes = 0;
  private isLimited = false;
  private lateRuns = 0;
  /** Entries that have seen a part survive since they started, by part. */
  private readonly witnesses = new Map<string, Set<number>>();
  /** Crashes since a run with the part last survived, by part. */
  private readonly losses = new Map<string, number>();

  constructor(private readonly mutation: string | undefined) {
    this.entries = Array.from({ length: ENTRIES }, () => this.start());
    this.records = this.entries.map((one) => one.ownRecord());
  }

  /** Returns what the step has broken. */
  apply(step: Command): readonly string[] {
    this.nowMs += STEP_MS;
    switch (step.kind) {
      case "crashing":
        this.crash(step.entry, [step.first, CRASHING_PART, step.subject]);
        return this.lateRuns > MAXIMUM_LATE_RUNS
          ? [`${this.lateRuns} late runs with the crashing part`]
          : [];
      case "survive":
        this.survive(step.entry, [step.first, step.subject]);
        return [];
      case "lose":
        this.lose(step.entry, [step.first, step.subject]);
        return [];
      case "share":
        this.share();
        return this.wronglyWithheld();
      case "restart":
        this.restart(step.entry);
        return [];
    }
  }

  private start(): SuspectParts {
    return SuspectParts.create(() => this.nowMs);
  }

  private crash(at: number, parts: readonly string[]): void {
    if (this.entries[at].isWithheld(parts)) return;
    if (this.isLimited) this.lateRuns += 1;
    this.crashes += 1;
    this.lose(at, parts);
  }

  private lose(at: number, parts: readonly string[]): void {
    if (this.entries[at].isWithheld(parts)) return;
    this.runs += 1;
    this.entries[at].addOwnRun({
      runner: `r${this.runs}`,
      request: `q${this.runs}`,
      sentAtMs: this.nowMs - RUN_MS,
      lostAtMs: this.nowMs,
      parts,
    });
    for (const part of parts) {
      this.losses.set(part, (this.losses.get(part) ?? 0) + 1);
    }
    this.records[at] = this.entries[at].ownRecord();
  }

  private survive(at: number, parts: readonly string[]): void {
    if (this.entries[at].isWithheld(parts)) return;
    for (const part of parts) {
      const known = this.witnesses.get(part) ?? new Set();
      this.witnesses.set(part, known.add(at));
      this.losses.set(part, 0);
    }
    if (this.mutation === "no-survivors") return;
    this.entries[at].onSurvived(parts);
    this.records[at] = this.entries[at].ownRecord();
  }

  private share(): void {
    // What an entry knows of the others' losses is published in turn.
    for (let round = 0; round < 2; round += 1) {
      this.entries.forEach((one, at) => {
        this.mergeOthers(one, at);
        this.records[at] = one.ownRecord();
      });
    }
    this.isLimited ||= this.crashes >= LIMITED_AFTER_CRASHES;
  }

  private mergeOthers(one: SuspectParts, at: number): void {
    if (this.mutation === "no-sharing") return;
    this.records.forEach((record, from) => {
      if (from !== at) one.merge(record, false);
    });
  }

  private restart(at: number): void {
    const restarted = this.start();
    restarted.merge(this.records[at], true);
    this.entries[at] = restarted;
    this.mergeOthers(restarted, at);
    for (const known of this.witnesses.values()) known.delete(at);
  }

  private wronglyWithheld(): readonly string[] {
    return this.entries.flatMap((one, at) =>
      FIRST_PARTS.flatMap((first) =>
        SUBJECTS.flatMap((subject) => {
          const parts = [first, subject];
          const isWrong = parts.every((part) => this.isHarmless(part));
          return isWrong && one.isWithheld(parts)
            ? [`entry ${at} withholds ${parts.join()}`]
            : [];
        }),
      ),
    );
  }

  private isHarmless(part: string): boolean {
    const isWitnessed = (this.witnesses.get(part)?.size ?? 0) > 0;
    return (
      isWitnessed && (this.losses.get(part) ?? 0) < CRASHES_IF_ONCE_HARMLESS
    );
  }
}

/** Runs a history; returns the violations after its first failing step. */
export function checkParts(
  { steps }: PartHistory,
  mutation?: string,
): readonly string[] {
  const simulation = new PartsSimulation(mutation);
  for (const step of steps) {
    const violations = simulation.apply(step);
    if (violations.length > 0) return violations;
  }
  return [];
}
