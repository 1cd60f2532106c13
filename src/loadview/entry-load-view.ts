/**
 * The entry's side: decides when a report is due for each group whose planner
 * is known, and which answers count. Ages are measured on this entry's own
 * clock, from the sending of the report that was answered.
 */
import type { Emit, Measurements, Now, Random } from "../internal.js";
import type { PlannedGroup } from "../membership/runner-groups.js";
import type { DatagramFindings } from "./datagram-findings.js";
import {
  ACTIVE_INTERVAL_MS,
  IDLE_INTERVAL_MS,
  activeIntervalMs,
  validityMs,
  withJitter,
} from "./intervals.js";
import { sumLoads } from "./load-sums.js";
import {
  decodeAnswer,
  digestOfAddresses,
  encodeReport,
  type LoadAnswer,
  type LoadSummary,
} from "./messages.js";
import type { EntryLoad, GroupLoad, RunnerLoad } from "./types.js";

export interface EntryLoadViewOptions {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly findings: DatagramFindings;
  /** Name of this process. */
  readonly name: string;
  /** Random number of this run of the process. */
  readonly incarnation: number;
  /** Groups whose planners receive reports. */
  readonly groups: () => readonly PlannedGroup[];
  /**
   * Name of the group that the name stands for: a group, or a service with a
   * single group.
   */
  readonly groupNamed: (name: string) => string | undefined;
  /** Called once for each time at which reports are sent. */
  readonly ownLoads: () => readonly EntryLoad[];
  /** `planner`: host:port. Doesn't throw. */
  readonly send: (datagram: Buffer, planner: string) => void;
}

interface AcceptedAnswer {
  readonly sentAtMs: number;
  readonly validUntilMs: number;
  readonly load: GroupLoad;
}

interface GroupState {
  group: PlannedGroup;
  /** Digest of the group's addresses. */
  digest: number;
  sentAtMs: number;
  /** Interval that the last report has named, ms. */
  intervalMs: number;
  /** Until then no report is due without requests. */
  idleUntilMs: number;
  answer: AcceptedAnswer | undefined;
}

export class EntryLoadView {
  private readonly states = new Map<string, GroupState>();
  /** Largest number of entries in the last answers; kept when all are lost. */
  private entries = 0;

  private constructor(private readonly options: EntryLoadViewOptions) {}

  static create(options: EntryLoadViewOptions): EntryLoadView {
    return new EntryLoadView(options);
  }

  /** Undefined unless an answer has arrived lately. Doesn't throw. */
  read(name: string): GroupLoad | undefined {
    const group = this.options.groupNamed(name) ?? name;
    const answer = this.states.get(group)?.answer;
    if (answer === undefined) return undefined;
    return this.options.now() <= answer.validUntilMs ? answer.load : undefined;
  }

  /**
   * Sends the reports that are due; call at regular times. Returns the time
   * until the next call, ms.
   */
  poll(): number {
    this.applyGroups();
    const loads = this.loadsByGroup();
    let entries = 0;
    for (const [name, state] of this.states) {
      this.dropExpired(name, state);
      entries = Math.max(entries, state.answer?.load.entries ?? 0);
    }
    if (entries > 0) this.entries = entries;
    const intervalMs = activeIntervalMs(this.entries);
    for (const [name, state] of this.states) {
      const load = loads.get(name) ?? { group: name, limit: 0, priorities: [] };
      this.reportIfDue(state, load, intervalMs);
    }
    return withJitter(intervalMs, this.options.random());
  }

  /** `from`: host:port of the sender. Doesn't throw. */
  receive(datagram: Uint8Array, from: string): void {
    const { findings, measurements } = this.options;
    const host = from.slice(0, from.lastIndexOf(":"));
    const answer = findings.read(() => decodeAnswer(datagram), host);
    if (answer === undefined) return;
    const isUsed = this.accept(answer, from);
    const result = isUsed ? "received" : "ignored";
    measurements.count("loadDatagrams", { result });
  }

  private accept(
    { incarnation, sentAtMs, summary }: LoadAnswer,
    from: string,
  ): boolean {
    const state = this.states.get(summary.group);
    if (state === undefined || incarnation !== this.options.incarnation)
      return false;
    // An earlier planner that has been frozen may still answer.
    if (from !== state.group.planner) return false;
    const isNewer = sentAtMs > (state.answer?.sentAtMs ?? -1);
    const validUntilMs = sentAtMs + validityMs(state.intervalMs);
    if (!isNewer || sentAtMs > state.sentAtMs) return false;
    if (this.options.now() > validUntilMs) return false;
    const load = loadOf(summary, state);
    if (state.answer === undefined) this.reportBegin(load, from);
    state.answer = { sentAtMs, validUntilMs, load };
    return true;
  }

  private applyGroups(): void {
    const groups = this.options.groups();
    const names = new Set(groups.map(({ name }) => name));
    for (const [name, state] of this.states) {
      if (names.has(name)) continue;
      if (state.answer !== undefined) this.reportLoss(name, state.answer);
      this.states.delete(name);
    }
    for (const group of groups) this.applyGroup(group);
  }

  private applyGroup(group: PlannedGroup): void {
    const state = this.states.get(group.name);
    if (state?.group === group) return;
    const digest = digestOfAddresses(group.addresses);
    if (state !== undefined) {
      // The sums still hold while the next planner starts.
      state.group = group;
      state.digest = digest;
      return;
    }
    this.states.set(group.name, {
      group,
      digest,
      sentAtMs: -1,
      intervalMs: ACTIVE_INTERVAL_MS,
      idleUntilMs: Number.NEGATIVE_INFINITY,
      answer: undefined,
    });
  }

  private loadsByGroup(): ReadonlyMap<string, EntryLoad> {
    const parts = new Map<string, EntryLoad[]>();
    for (const load of this.options.ownLoads()) {
      const name = this.options.groupNamed(load.group);
      if (name === undefined) continue;
      parts.set(name, [...(parts.get(name) ?? []), load]);
    }
    const sums = new Map<string, EntryLoad>();
    for (const [group, loads] of parts) {
      const heard = loads.map((load) => ({ load, ageMs: 0 }));
      sums.set(group, { group, ...sumLoads(heard) });
    }
    return sums;
  }

  /** `activeMs`: time until the next call, without jitter. */
  private reportIfDue(
    state: GroupState,
    load: EntryLoad,
    activeMs: number,
  ): void {
    const { now, name, incarnation, send, measurements } = this.options;
    const nowMs = now();
    const isActive = load.priorities.some(
      ({ running, waiting }) => running + waiting > 0,
    );
    // The end of the last request is reported like any other change.
    const wasIdle = state.intervalMs === IDLE_INTERVAL_MS;
    if (!isActive && wasIdle && nowMs < state.idleUntilMs) return;
    const intervalMs = isActive ? activeMs : IDLE_INTERVAL_MS;
    if (isActive) shortenValidity(state, nowMs + validityMs(intervalMs));
    state.idleUntilMs = nowMs + IDLE_INTERVAL_MS - ACTIVE_INTERVAL_MS / 2;
    state.sentAtMs = Math.max(state.sentAtMs + 1, Math.round(nowMs));
    state.intervalMs = intervalMs;
    const { sentAtMs } = state;
    const report = { entry: name, incarnation, sentAtMs, intervalMs, load };
    send(encodeReport(report), state.group.planner);
    measurements.count("loadDatagrams", { result: "sent" });
  }

  private dropExpired(group: string, state: GroupState): void {
    const { answer } = state;
    if (answer === undefined) return;
    const nowMs = this.options.now();
    const ageMs = nowMs - answer.sentAtMs;
    this.options.measurements.set("loadViewAge", ageMs / 1000, { group });
    if (nowMs <= answer.validUntilMs) return;
    this.reportLoss(group, answer);
    state.answer = undefined;
  }

  private reportBegin(load: GroupLoad, planner: string): void {
    const { group, entries } = load;
    this.options.emit(246, { group, entries, planner });
  }

  private reportLoss(group: string, { sentAtMs }: AcceptedAnswer): void {
    const ageMs = Math.round(this.options.now() - sentAtMs);
    this.options.emit(247, { group, ageMs });
    this.options.measurements.set("loadViewAge", -1, { group });
  }
}

/** An answer to a report without requests counts longer than others. */
function shortenValidity(state: GroupState, latestMs: number): void {
  const { answer } = state;
  if (answer === undefined || answer.validUntilMs <= latestMs) return;
  state.answer = { ...answer, validUntilMs: latestMs };
}

function loadOf(summary: LoadSummary, state: GroupState): GroupLoad {
  return { ...summary, runners: runnersOf(summary, state) };
}

/** None if the planner's list of addresses isn't the one that is known here. */
function runnersOf(
  { runners }: LoadSummary,
  { group: { addresses }, digest }: GroupState,
): readonly RunnerLoad[] {
  const { counts } = runners;
  if (runners.digest !== digest || counts.length !== addresses.length)
    return [];
  return addresses.map((address, index) => ({ address, ...counts[index] }));
}
