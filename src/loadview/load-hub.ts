/**
 * The planner's side: keeps the latest report of each entry for the planner's
 * group and answers each report with the sums. All of it is in memory and
 * expires.
 */
import type { Emit, Measurements, Now } from "../internal.js";
import { validityMs } from "./intervals.js";
import { sumLoads } from "./load-sums.js";
import {
  NO_RUNNER_COUNTS,
  decodeReport,
  digestOfAddresses,
  encodeAnswer,
  encodeSummary,
  type LoadReport,
  type RunnerCounts,
} from "./messages.js";
import type { RunnerLoad } from "./types.js";
import type { DatagramFindings } from "./datagram-findings.js";

export interface LoadHubOptions {
  readonly now: Now;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly findings: DatagramFindings;
  /** Whether this process holds the planner lease of the group. */
  readonly isPlanner: () => boolean;
}

interface HeardEntry {
  readonly report: LoadReport;
  readonly heardAtMs: number;
  /** Late reports of the run before must not replace this one's. */
  readonly earlierIncarnation: number | undefined;
}

/**
 * Time in which a planner hears every entry, initially and after a cut, ms. Its
 * sums are too small before, and entries would share the group with too few
 * others.
 */
export const WARM_UP_MS = 1500;
/** Time for which the sums are used again, ms. */
const SUMS_VALID_MS = 25;
/** Time for which an observation of the runners counts, ms. */
const RUNNERS_VALID_MS = 1000;
/** Interval at which reports are checked for their expiry, ms. */
const EXPIRY_CHECK_INTERVAL_MS = 25;
export const MAXIMUM_ENTRIES = 4096;
/** Least time between two log lines about too many entries, ms. */
const FULL_LOG_INTERVAL_MS = 60_000;

export class LoadHub {
  private group: string | undefined;
  /** Start of the time without a moment at which no report counted. */
  private hearingSinceMs = Number.NEGATIVE_INFINITY;
  private readonly heard = new Map<string, HeardEntry>();
  private runners = NO_RUNNER_COUNTS;
  private observedAtMs = Number.NEGATIVE_INFINITY;
  /** Encoded; undefined when a report has to change it at once. */
  private summary: Buffer | undefined;
  private summedAtMs = Number.NEGATIVE_INFINITY;
  private checkedAtMs = Number.NEGATIVE_INFINITY;
  private loggedFullAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: LoadHubOptions) {}

  static create(options: LoadHubOptions): LoadHub {
    return new LoadHub(options);
  }

  /** Call when this process plans for the group; repeated calls do nothing. */
  begin(group: string): void {
    if (this.group === group) return;
    this.end();
    this.group = group;
  }

  /** Call when this process doesn't plan any more. */
  end(): void {
    this.heard.clear();
    this.measureEntries();
    this.group = undefined;
    this.summary = undefined;
    this.runners = NO_RUNNER_COUNTS;
  }

  /** `runners`: in the order of the addresses in the group note. */
  observe(runners: readonly RunnerLoad[]): void {
    this.runners = countsOf(runners);
    this.observedAtMs = this.options.now();
    this.dropExpired();
    this.measureEntries();
  }

  /**
   * Returns the answer; undefined for a datagram that gets none. `from`: host
   * of the sender. Doesn't throw.
   */
  receive(bytes: Uint8Array, from: string): Buffer | undefined {
    const { findings, measurements } = this.options;
    const report = findings.read(() => decodeReport(bytes), from);
    if (report === undefined) return undefined;
    const isUsed = this.isCurrent(report) && this.record(report);
    const result = isUsed ? "received" : "ignored";
    measurements.count("loadDatagrams", { result });
    if (!isUsed || !this.isWarm) return undefined;
    return encodeAnswer(report, this.currentSummary());
  }

  private get isWarm(): boolean {
    return this.options.now() - this.hearingSinceMs >= WARM_UP_MS;
  }

  private isCurrent({ load }: LoadReport): boolean {
    return this.group === load.group && this.options.isPlanner();
  }

  /** Returns whether it is the entry's latest report. */
  private record(report: LoadReport): boolean {
    const { entry, incarnation, sentAtMs } = report;
    const heardAtMs = this.options.now();
    this.dropExpired();
    if (this.heard.size === 0) this.hearingSinceMs = heardAtMs;
    const known = this.heard.get(entry);
    if (known === undefined) {
      if (!this.hasRoom()) return false;
      this.summary = undefined;
      const earlierIncarnation = undefined;
      this.heard.set(entry, { report, heardAtMs, earlierIncarnation });
      return true;
    }
    let { earlierIncarnation } = known;
    if (incarnation === earlierIncarnation) return false;
    if (incarnation !== known.report.incarnation)
      earlierIncarnation = known.report.incarnation;
    else if (sentAtMs <= known.report.sentAtMs) return false;
    this.heard.set(entry, { report, heardAtMs, earlierIncarnation });
    return true;
  }

  private hasRoom(): boolean {
    if (this.heard.size < MAXIMUM_ENTRIES) return true;
    const nowMs = this.options.now();
    if (nowMs - this.loggedFullAtMs < FULL_LOG_INTERVAL_MS) return false;
    this.loggedFullAtMs = nowMs;
    this.options.emit(249, { entries: this.heard.size });
    return false;
  }

  private currentSummary(): Buffer {
    const nowMs = this.options.now();
    if (this.summary !== undefined && nowMs - this.summedAtMs < SUMS_VALID_MS)
      return this.summary;
    this.dropExpired();
    const loads = Array.from(
      this.heard.values(),
      ({ report: { load }, heardAtMs }) => ({ load, ageMs: nowMs - heardAtMs }),
    );
    const areRunnersValid = nowMs - this.observedAtMs < RUNNERS_VALID_MS;
    this.summary = encodeSummary({
      group: this.group ?? "",
      entries: this.heard.size,
      ...sumLoads(loads),
      runners: areRunnersValid ? this.runners : NO_RUNNER_COUNTS,
    });
    this.summedAtMs = nowMs;
    this.measureEntries();
    return this.summary;
  }

  private measureEntries(): void {
    const { group, heard } = this;
    if (group === undefined) return;
    this.options.measurements.set("loadViewEntries", heard.size, { group });
  }

  private dropExpired(): void {
    const nowMs = this.options.now();
    if (nowMs - this.checkedAtMs < EXPIRY_CHECK_INTERVAL_MS) return;
    this.checkedAtMs = nowMs;
    for (const [entry, { report, heardAtMs }] of this.heard) {
      const ageMs = nowMs - heardAtMs;
      if (ageMs > validityMs(report.intervalMs)) this.heard.delete(entry);
    }
  }
}

function countsOf(runners: readonly RunnerLoad[]): RunnerCounts {
  const addresses = runners.map(({ address }) => address);
  const counts = runners.map(({ running, waiting }) => ({ running, waiting }));
  return { digest: digestOfAddresses(addresses), counts };
}
