/**
 * Checks every step report of this agent's engine against the map that must
 * have been in force, to assert at run time that all ranks of a group use one
 * map in every step. The expected map comes from the committed proposal, which
 * is the same at every member.
 */
import {
  ballotKey,
  sameBallot,
  type Ballot,
  type EngineMapState,
  type StepReport,
} from "../internal.js";

interface MapPeriod {
  readonly group: Ballot;
  /** First step that runs on the map. */
  readonly since: number;
  readonly version: number;
  readonly mapHash: string;
}

/**
 * Reports are at most seconds late, which spans far fewer periods than this.
 */
const MAXIMUM_PERIODS = 32;
/** Reports of a version that isn't known yet, kept until it is. */
const MAXIMUM_WAITING_REPORTS = 256;

export class StepChecker {
  private periods: MapPeriod[] = [];
  private waiting: readonly StepReport[] = [];

  private constructor() {
    // Instances come from create().
  }

  static create(): StepChecker {
    return new StepChecker();
  }

  /** Records the engine's current and committed maps; returns violations. */
  observe({
    group,
    version,
    mapHash,
    since,
    armed,
  }: EngineMapState): readonly string[] {
    if (group === null) return [];
    const violations = [this.recordPeriod({ group, version, mapHash, since })];
    if (armed?.committed === true) {
      const { step, ...proposal } = armed.proposal;
      violations.push(this.recordPeriod({ ...proposal, since: step }));
    }
    return [...violations.flatMap((detail) => detail ?? []), ...this.check([])];
  }

  /** Returns the violations in new reports and in those that were waiting. */
  check(reports: readonly StepReport[]): readonly string[] {
    const all = [...this.waiting, ...reports];
    this.waiting = all
      .filter((report) => this.isAhead(report))
      .slice(-MAXIMUM_WAITING_REPORTS);
    return all.flatMap((report) => this.findViolation(report) ?? []);
  }

  private recordPeriod(period: MapPeriod): string | undefined {
    const earlier = this.periods.find(
      ({ group, version }) =>
        sameBallot(group, period.group) && version === period.version,
    );
    if (earlier === undefined) {
      this.periods = [...this.periods, period].slice(-MAXIMUM_PERIODS);
      return undefined;
    }
    const { since, mapHash } = earlier;
    if (since === period.since && mapHash === period.mapHash) return undefined;
    return `version ${period.version} since ${period.since} with ${period.mapHash}, expected since ${since} with ${mapHash}`;
  }

  /** Whether the report has a version that this agent doesn't know yet. */
  private isAhead(report: StepReport): boolean {
    const versions = this.periodsOf(report.group).map((item) => item.version);
    return report.version > Math.max(0, ...versions);
  }

  private findViolation(report: StepReport): string | undefined {
    if (this.isAhead(report)) return undefined;
    const expected = this.periodsOf(report.group)
      .filter(({ since }) => since <= report.step)
      .sort((a, b) => b.since - a.since)
      .at(0);
    // The step is older than the first state read, so nothing is expected.
    if (expected === undefined) return undefined;
    const { version, mapHash } = expected;
    if (version === report.version && mapHash === report.mapHash) {
      return undefined;
    }
    const location = `rank ${report.rank} step ${report.step} of ${ballotKey(report.group)}`;
    return `${location} ran version ${report.version} (${report.mapHash}), expected ${version} (${mapHash})`;
  }

  private periodsOf(group: Ballot): readonly MapPeriod[] {
    return this.periods.filter((period) => sameBallot(period.group, group));
  }
}
