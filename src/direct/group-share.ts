/**
 * One entry's share of the limit of a group. Reports what the entry runs and
 * holds back there, and takes its share from the sums over all entries when a
 * new view of them arrives.
 */
import { shareOf, type PriorityGrant } from "../admission/priority-shares.js";
import type { Emit, Now } from "../internal.js";
import type {
  EntryLoad,
  GroupLoad,
  PriorityLoad,
  ReadGroupLoad,
} from "../loadview/types.js";
import type { ConcurrencyLimit } from "./concurrency-limit.js";

export interface GroupShareOptions {
  readonly now: Now;
  readonly emit: Emit;
  /** Name of the group, as `service.group`. */
  readonly group: string;
  readonly concurrencyLimit: ConcurrencyLimit;
  readonly groupLoad: ReadGroupLoad;
}

interface Report {
  readonly atMs: number;
  readonly priorities: readonly PriorityLoad[];
  readonly adjustment: number;
}

/** Time from an entry's report to a view that contains it, ms. */
const VIEW_DELAY_MS = 250;
const MAXIMUM_REPORTS = 32;

export class GroupShare {
  private reports: readonly Report[] = [];
  private view: GroupLoad | undefined;
  private state: "alone" | "shared" | "unusable" = "alone";
  private grants: readonly PriorityGrant[] = [];
  /** Part of the limit that rounding has left out of the last report. */
  private unreported = 0;

  private constructor(private readonly options: GroupShareOptions) {}

  static create(options: GroupShareOptions): GroupShare {
    return new GroupShare(options);
  }

  /** Returns what is reported now. Rounded limits add up over time. */
  report(priorities: readonly PriorityLoad[]): EntryLoad {
    const { now, group, concurrencyLimit } = this.options;
    const { adjustment, share } = concurrencyLimit;
    const report = { atMs: now(), priorities, adjustment };
    this.reports = [...this.reports, report].slice(-MAXIMUM_REPORTS);
    const limit = Math.max(0, Math.round(share + this.unreported));
    this.unreported += share - limit;
    return { group, limit, priorities };
  }

  /**
   * Takes the entry's share from the view if it is a new one. `slots`: sum over
   * the group's runners.
   */
  update(slots: number): void {
    const { group, groupLoad } = this.options;
    const view = groupLoad(group);
    if (view === this.view) return;
    this.view = view;
    const report = this.reportInView();
    if (view === undefined || report === undefined) this.end("alone", view);
    else if (isUsable(view)) this.apply(view, report, slots);
    else this.end("unusable", view);
  }

  /** Whether any priority has to leave places to more urgent ones. */
  get hasReserved(): boolean {
    return this.grants.length > 1;
  }

  /**
   * Places that more urgent requests than these are granted and don't use yet.
   */
  reservedBefore(
    priority: number,
    running: ReadonlyMap<number, number>,
  ): number {
    let reserved = 0;
    for (const grant of this.grants) {
      if (grant.priority >= priority) break;
      const unused = grant.limit - (running.get(grant.priority) ?? 0);
      reserved += Math.max(0, Math.floor(unused));
    }
    return reserved;
  }

  private apply(view: GroupLoad, report: Report, slots: number): void {
    const { concurrencyLimit, emit, group } = this.options;
    const capacity = Math.min(view.limit, Math.max(1, slots));
    const { entries, priorities: total } = view;
    const own = report.priorities;
    const share = shareOf({ capacity, entries, total, own });
    this.grants = share.grants;
    concurrencyLimit.applyShare({
      limit: share.limit,
      startable: share.startable,
      capacity,
      running: total.reduce((sum, { running }) => sum + running, 0),
      entries,
      adjustment: report.adjustment,
    });
    if (this.state === "shared") return;
    this.state = "shared";
    emit(251, { group, entries, limit: Math.floor(share.limit) });
  }

  private end(state: "alone" | "unusable", view: GroupLoad | undefined): void {
    const { concurrencyLimit, emit, group } = this.options;
    concurrencyLimit.endSharing();
    this.grants = [];
    const before = this.state;
    this.state = state;
    if (state === before) return;
    if (state === "alone") emit(252, { group });
    else emit(253, { group, limit: String(view?.limit) });
  }

  /** The newest report that the view can contain, or else the oldest. */
  private reportInView(): Report | undefined {
    const latestMs = this.options.now() - VIEW_DELAY_MS;
    return (
      this.reports.findLast(({ atMs }) => atMs <= latestMs) ??
      this.reports.at(0)
    );
  }
}

function isUsable({ limit, entries, priorities }: GroupLoad): boolean {
  return (
    isPositive(limit) &&
    Number.isFinite(entries) &&
    entries >= 1 &&
    priorities.every(
      ({ priority, running, waiting }) =>
        Number.isFinite(priority) && isCount(running) && isCount(waiting),
    )
  );
}

function isPositive(value: number): boolean {
  return Number.isFinite(value) && value > 0;
}

function isCount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
