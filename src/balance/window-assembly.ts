/**
 * Brings the reports of all ranks of a group together, window by window. A
 * rank that is late or silent holds nobody up: its window goes on without it.
 */
import type { RankReport } from "./types.js";

/** More windows at once are of a rank that runs far ahead of the others. */
const MOST_OPEN_WINDOWS = 8;

export class WindowAssembly {
  private readonly open = new Map<number, Map<number, RankReport>>();
  private lastWindow = -1;

  private constructor(private readonly ranks: number) {}

  static create(ranks: number): WindowAssembly {
    return new WindowAssembly(ranks);
  }

  /** Returns the windows that the report completes, oldest first. */
  add(report: RankReport): readonly (readonly RankReport[])[] {
    const { window, rank } = report;
    if (window <= this.lastWindow) return [];
    const reports = this.open.get(window) ?? new Map<number, RankReport>();
    reports.set(rank, report);
    this.open.set(window, reports);
    return this.takeReady();
  }

  /** The group formed anew and counts its windows from the start. */
  reset(): void {
    this.open.clear();
    this.lastWindow = -1;
  }

  private takeReady(): (readonly RankReport[])[] {
    const windows = [...this.open.keys()].sort((a, b) => a - b);
    const ready = windows.filter((window) => this.isReady(window));
    const last = ready.at(-1);
    if (last === undefined) return [];
    this.lastWindow = last;
    return windows
      .filter((window) => window <= last)
      .map((window) => this.take(window));
  }

  /**
   * Ready when all ranks have reported, or half of them are a window ahead:
   * what is missing then was lost, and waiting for it would let the planner
   * go blind for as long as one rank is silent.
   */
  private isReady(window: number): boolean {
    const count = (of: number): number => this.open.get(of)?.size ?? 0;
    if (count(window) >= this.ranks) return true;
    if (2 * count(window + 1) >= this.ranks) return true;
    return this.open.size > MOST_OPEN_WINDOWS;
  }

  private take(window: number): readonly RankReport[] {
    const reports = this.open.get(window);
    this.open.delete(window);
    return [...(reports?.values() ?? [])];
  }
}
