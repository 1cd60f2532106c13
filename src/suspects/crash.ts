/** The crash of one server, with the runs that were lost there. */
import { isSameCrash } from "./crash-evidence.js";
import type { CrashedRun, LostPromptRun } from "./types.js";

export class Crash {
  readonly parts: ReadonlySet<string>;

  private constructor(
    private readonly runs: readonly LostPromptRun[],
    /** Unix ms. */
    readonly lostAtMs: number,
  ) {
    this.parts = new Set(runs.flatMap(({ parts }) => parts));
  }

  /** The crashes in which the runs were lost, by time. */
  static group(runs: readonly LostPromptRun[]): readonly Crash[] {
    const byTime = runs.toSorted((one, other) => one.lostAtMs - other.lostAtMs);
    const groups: LostPromptRun[][] = [];
    /** The latest group of each server. */
    const latest = new Map<string, LostPromptRun[]>();
    for (const run of byTime) {
      const known = latest.get(run.runner);
      if (known !== undefined && isSameCrash(known[0], run)) {
        known.push(run);
        continue;
      }
      const group = [run];
      groups.push(group);
      latest.set(run.runner, group);
    }
    return groups.map((group) => new Crash(group, group[0].lostAtMs));
  }

  /** Id of the server. */
  get runner(): string {
    return this.runs[0].runner;
  }

  includes(run: CrashedRun): boolean {
    return isSameCrash(this.runs[0], run);
  }

  runsWith(part: string): readonly LostPromptRun[] {
    return this.runs.filter(({ parts }) => parts.includes(part));
  }
}
