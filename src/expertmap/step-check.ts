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
  type EngineMapState,
  type StepReport,
} from "../internal.js";

interface Period {
  readonly group: Ballot;
  /** First step on the map. */
  readonly since: number;
  readonly version: number;
  readonly mapHash: string;
}

/** Reports come at most seconds late, far fewer periods than this. */
const LARGEST_MEMORY = 32;
/** Reports kept for a second look when they run ahead of what is known. */
const LARGEST_WAITING = 256;

export class StepCheck {
  private periods: Period[] = [];
  private waiting: readonly StepReport[] = [];

  private constructor() {
    // Made by create().
  }

  static create(): StepCheck {
    return new StepCheck();
  }

  /** Takes in what the engine runs on and will; returns contradictions. */
  observe({
    group,
    version,
    mapHash,
    since,
    armed,
  }: EngineMapState): readonly string[] {
    if (group === null) return [];
    const found = [this.expect({ group, version, mapHash, since })];
    if (armed?.committed === true) {
      const { step, ...proposal } = armed.proposal;
      found.push(this.expect({ ...proposal, since: step }));
    }
    return [...found.flatMap((detail) => detail ?? []), ...this.check([])];
  }

  /** Returns what reports contradict, those that had to wait among them. */
  check(reports: readonly StepReport[]): readonly string[] {
    const all = [...this.waiting, ...reports];
    this.waiting = all
      .filter((report) => this.runsAhead(report))
      .slice(-LARGEST_WAITING);
    return all.flatMap((report) => this.contradiction(report) ?? []);
  }

  private expect(period: Period): string | undefined {
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

  /** On a version that this agent hasn't read of yet. */
  private runsAhead(report: StepReport): boolean {
    const versions = this.periodsOf(report.group).map((item) => item.version);
    return report.version > Math.max(0, ...versions);
  }

  private contradiction(report: StepReport): string | undefined {
    if (this.runsAhead(report)) return undefined;
    const expected = this.periodsOf(report.group)
      .filter(({ since }) => since <= report.step)
      .sort((a, b) => b.since - a.since)
      .at(0);
    // From before this agent knew the engine: nothing to hold against it.
    if (expected === undefined) return undefined;
    const { version, mapHash } = expected;
    if (version === report.version && mapHash === report.mapHash) {
      return undefined;
    }
    const where = `rank ${report.rank} step ${report.step} of ${ballotKey(report.group)}`;
    return `${where} ran version ${report.version} (${report.mapHash}), expected ${version} (${mapHash})`;
  }

  private periodsOf(group: Ballot): readonly Period[] {
    return this.periods.filter((period) => sameBallot(period.group, group));
  }
}
