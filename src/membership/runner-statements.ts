/**
 * What runners have said of their own state in their answers to this process:
 * for how long they want no requests from it, and that they leave. It holds
 * whatever the register says, and ends with the runner's incarnation.
 */
import type { Emit, Measurements, Now } from "../internal.js";
import { compareIncarnations } from "./incarnation.js";
import type { RunnerStatement, StatementCause } from "./runner-statement.js";
import type { BackendServer, ScheduleAfter } from "./types.js";

export interface RunnerStatementsOptions {
  readonly now: Now;
  readonly after: ScheduleAfter;
  readonly emit: Emit;
  readonly measurements: Measurements;
  /** Whether the register contains a usable record of the runner. */
  readonly isRegistered: (runner: string) => boolean;
  /** A rest has begun or ended, or a runner leaves. */
  readonly onChanged: () => void;
}

/** Why a rest ended, for the log. */
type RestEnd = "elapsed" | "incarnation-ended";

interface RunnerState {
  /** The incarnation that has answered. */
  readonly server: BackendServer;
  /** Monotonic ms. */
  restUntilMs: number;
  isResting: boolean;
  isLeaving: boolean;
  /** Value that was reported as unreadable last. */
  unreadableRest: string | undefined;
  /** When the register last contained the runner, monotonic ms. */
  registeredAtMs: number;
}

/**
 * How long what a runner said is kept after its record has left the register,
 * ms: longer than an outage of the store and late writes can bring it back.
 */
export const UNREGISTERED_RETENTION_MS = 60_000;
/** Interval at which outdated statements are removed, ms. */
const CLEANUP_INTERVAL_MS = 10_000;
/** Longest delay of one timer, ms; timers can't run for months. */
const MAXIMUM_DELAY_MS = 60_000;
/** Part of an unreadable value that is logged, characters. */
const LOGGED_VALUE_LENGTH = 40;

export class RunnerStatements {
  private readonly states = new Map<string, RunnerState>();
  private isCleanupScheduled = false;

  private constructor(private readonly options: RunnerStatementsOptions) {}

  static create(options: RunnerStatementsOptions): RunnerStatements {
    return new RunnerStatements(options);
  }

  /** Whether the runner has said that it leaves. */
  isLeaving(server: BackendServer): boolean {
    return this.stateOf(server)?.isLeaving ?? false;
  }

  /** When the runner's rest ends, monotonic ms; undefined if it doesn't rest. */
  restUntilMs(server: BackendServer): number | undefined {
    const state = this.stateOf(server);
    if (state === undefined) return undefined;
    return this.options.now() < state.restUntilMs
      ? state.restUntilMs
      : undefined;
  }

  /** `server`: registration by which the request was sent. */
  onAnswer(
    server: BackendServer,
    statement: RunnerStatement,
    cause: StatementCause,
  ): void {
    const { restMs = 0, unreadableRest, isLeaving } = statement;
    if (restMs === 0 && unreadableRest === undefined && !isLeaving) return;
    const state = this.openState(server);
    if (state === undefined) return;
    if (unreadableRest !== undefined) this.onUnreadable(state, unreadableRest);
    if (restMs > 0) this.onRest(state, restMs, cause);
    if (isLeaving) this.onLeaving(state, cause);
  }

  /**
   * The earlier incarnation has ended, because the later one has its id or its
   * address.
   */
  onReplaced(earlier: BackendServer, later: BackendServer): void {
    const state = this.states.get(earlier.id);
    if (state === undefined) return;
    if (earlier.id !== later.id || isLaterThan(state, later)) this.end(state);
  }

  private stateOf(server: BackendServer): RunnerState | undefined {
    const state = this.states.get(server.id);
    return state === undefined || isLaterThan(state, server)
      ? undefined
      : state;
  }

  /** Undefined if a later incarnation than the server's has answered. */
  private openState(server: BackendServer): RunnerState | undefined {
    const { id, startedAtMs } = server;
    const known = this.states.get(id);
    const order = compareIncarnations(known?.server.startedAtMs, startedAtMs);
    if (order === "earlier") return undefined;
    if (known !== undefined && order === "same") return known;
    if (known !== undefined) this.end(known);
    const state: RunnerState = {
      server,
      restUntilMs: Number.NEGATIVE_INFINITY,
      isResting: false,
      isLeaving: false,
      unreadableRest: undefined,
      registeredAtMs: this.options.now(),
    };
    this.states.set(id, state);
    this.scheduleCleanup();
    return state;
  }

  private onUnreadable(state: RunnerState, value: string): void {
    if (state.unreadableRest === value) return;
    state.unreadableRest = value;
    const runner = state.server.id;
    const shown = value.slice(0, LOGGED_VALUE_LENGTH);
    this.options.emit(264, { runner, value: shown });
  }

  private onRest(
    state: RunnerState,
    restMs: number,
    cause: StatementCause,
  ): void {
    const untilMs = this.options.now() + restMs;
    if (untilMs <= state.restUntilMs) return;
    state.restUntilMs = untilMs;
    if (state.isResting) return;
    state.isResting = true;
    const runner = state.server.id;
    this.options.emit(262, { runner, cause, restMs });
    this.report(state, "rest", true);
    this.scheduleRestEnd(state);
  }

  private onLeaving(state: RunnerState, cause: StatementCause): void {
    if (state.isLeaving) return;
    state.isLeaving = true;
    this.options.emit(263, { runner: state.server.id, cause });
    this.report(state, "leaving", true);
  }

  private scheduleRestEnd(state: RunnerState): void {
    const delayMs = Math.ceil(state.restUntilMs - this.options.now());
    this.options.after(Math.min(delayMs, MAXIMUM_DELAY_MS), () => {
      if (!state.isResting) return;
      if (this.options.now() < state.restUntilMs) this.scheduleRestEnd(state);
      else this.endRest(state, "elapsed");
    });
  }

  private endRest(state: RunnerState, cause: RestEnd): void {
    state.isResting = false;
    this.options.emit(265, { runner: state.server.id, cause });
    this.report(state, "rest", false);
  }

  private end(state: RunnerState): void {
    this.states.delete(state.server.id);
    if (state.isResting) this.endRest(state, "incarnation-ended");
    if (state.isLeaving) this.report(state, "leaving", false);
  }

  /** Sets the metric and tells that the usable runners have changed. */
  private report(
    { server }: RunnerState,
    cause: "rest" | "leaving",
    isHeldBack: boolean,
  ): void {
    const labels = { runner: server.id, cause };
    const value = isHeldBack ? 1 : undefined;
    this.options.measurements.set("runnerHeldBack", value, labels);
    this.options.onChanged();
  }

  private scheduleCleanup(): void {
    if (this.isCleanupScheduled) return;
    this.isCleanupScheduled = true;
    this.options.after(CLEANUP_INTERVAL_MS, () => {
      this.isCleanupScheduled = false;
      for (const state of this.states.values()) this.endIfOutdated(state);
      if (this.states.size > 0) this.scheduleCleanup();
    });
  }

  private endIfOutdated(state: RunnerState): void {
    const nowMs = this.options.now();
    if (this.options.isRegistered(state.server.id)) {
      state.registeredAtMs = nowMs;
    }
    const unregisteredMs = nowMs - state.registeredAtMs;
    const isGone = unregisteredMs >= UNREGISTERED_RETENTION_MS;
    const saysNothing = !state.isLeaving && !state.isResting;
    if (isGone || saysNothing) this.end(state);
  }
}

function isLaterThan(state: RunnerState, server: BackendServer): boolean {
  const { startedAtMs } = state.server;
  return compareIncarnations(startedAtMs, server.startedAtMs) === "later";
}
