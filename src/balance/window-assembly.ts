/**
 * Groups the reports of all ranks of a group by window. A late or silent rank
 * doesn't delay the others: the window is completed without its report.
 */
import type { RankReport } from "./types.js";

/** More open windows mean that a rank runs far ahead of the others. */
const MAXIMUM_OPEN_WINDOWS = 8;

export class WindowAssembly {
  private readonly open = new Map<number, Map<number, RankReport>>();
  private lastWindow = -1;

  private constructor(private readonly ranks: number) {}

  static create(ranks: number): WindowAssembly {
    return new WindowAssembly(ranks);
  }

  /** Adds a report; returns the windows it completes, oldest first. */
  add(report: RankReport): readonly (readonly RankReport[])[] {
    const { window, rank } = report;
    if (window <= this.lastWindow) return [];
    const reports = this.open.get(window) ?? new Map<number, RankReport>();
    reports.set(rank, report);
    this.open.set(window, reports);
    return this.removeReady();
  }

  /** Clears all state; a group that forms again restarts its window numbers. */
  reset(): void {
    this.open.clear();
    this.lastWindow = -1;
  }

  private removeReady(): (readonly RankReport[])[] {
    const windows = [...this.open.keys()].sort((a, b) => a - b);
    const ready = windows.filter((window) => this.isReady(window));
    const last = ready.at(-1);
    if (last === undefined) return [];
    this.lastWindow = last;
    return windows
      .filter((window) => window <= last)
      .map((window) => this.removeWindow(window));
  }

  /**
   * Ready when all ranks have reported, or half of them are a window ahead:
   * missing reports are then lost, and waiting for them would leave the planner
   * without data for as long as one rank is silent.
   */
  private isReady(window: number): boolean {
    const count = (openWindow: number): number =>
      this.open.get(openWindow)?.size ?? 0;
    if (count(window) >= this.ranks) return true;
    if (2 * count(window + 1) >= this.ranks) return true;
    return this.open.size > MAXIMUM_OPEN_WINDOWS;
  }

  private removeWindow(window: number): readonly RankReport[] {
    const reports = this.open.get(window);
    this.open.delete(window);
    return [...(reports?.values() ?? [])];
  }
}
