/**
 * Checks every step report of the own engine against the map that must have
 * been in force: the rule that all ranks of a group use one map in every step,
 * asserted inside the program. The expectation comes from the committed
 * proposal, which is the same at every member.
 */
import {
  ballotKey,
  sameBallot,
  type Ballot,
  type StepReport,
} from "../internal.js";

interface Period {
  readonly group: Ballot;
  readonly since: number;
  readonly version: number;
  readonly mapHash: string;
}

export type StepVerdict =
  | { readonly kind: "expected" }
  /** From before this agent knew the engine, or ahead of what it knows. */
  | { readonly kind: "unknown" }
  | { readonly kind: "violation"; readonly detail: string };

/** Reports come at most seconds late, far fewer periods than this. */
const LARGEST_MEMORY = 32;

export class StepCheck {
  private periods: Period[] = [];

  private constructor() {
    // Made by create().
  }

  static create(): StepCheck {
    return new StepCheck();
  }

  /** A map is in force from a step on; returns what contradicts it. */
  expect(period: Period): string | undefined {
    const earlier = this.periods.find(
      ({ group, version }) =>
        sameBallot(group, period.group) && version === period.version,
    );
    if (earlier === undefined) {
      this.periods = [...this.periods, period].slice(-LARGEST_MEMORY);
      return undefined;
    }
    const { since, mapHash } = earlier;
    if (since === period.since && mapHash === period.mapHash) return undefined;
    return `version ${period.version} since ${period.since} with ${period.mapHash}, expected since ${since} with ${mapHash}`;
  }

  check(report: StepReport): StepVerdict {
    const known = this.periods.filter(({ group }) =>
      sameBallot(group, report.group),
    );
    const latest = Math.max(0, ...known.map(({ version }) => version));
    if (report.version > latest) return { kind: "unknown" };
    const started = known.filter(({ since }) => since <= report.step);
    const expected = started.sort((a, b) => b.since - a.since).at(0);
    if (expected === undefined) return { kind: "unknown" };
    const { version, mapHash } = expected;
    if (version === report.version && mapHash === report.mapHash) {
      return { kind: "expected" };
    }
    const where = `rank ${report.rank} step ${report.step} of ${ballotKey(report.group)}`;
    const detail = `${where} ran version ${report.version} (${report.mapHash}), expected ${version} (${mapHash})`;
    return { kind: "violation", detail };
  }
}
