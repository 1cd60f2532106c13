/**
 * The runners of one service as seen by one entry: the attempts it runs there,
 * and whether they fail. A request is placed on the runner of whose slots this
 * entry uses the smallest share.
 */
import {
  toFailure,
  type Emit,
  type Measurements,
  type Now,
  type Random,
} from "../internal.js";
import type { BackendServer } from "../membership/types.js";
import { RunnerHealth } from "../placement/health.js";
import type { RunnerConnections } from "./runner-connections.js";
import type {
  IsSlow,
  IsUsable,
  ReadStatements,
  RequestLimits,
  Runner,
  RunnerVerdict,
  SlotUsage,
} from "./runner.js";

export interface RunnerPoolInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly connect: (address: string) => RunnerConnections;
  /** Data centre of this entry. */
  readonly dataCentre: string;
  readonly isSlow: IsSlow;
  readonly limits: RequestLimits;
  /** Whether the runner may get requests; by default each may. */
  readonly isUsable?: IsUsable;
  /** By default no runner rests or leaves. */
  readonly statements?: ReadStatements;
}

/**
 * Time until a full runner is tried again, ms: about the time in which one of
 * eight slots becomes free if each request takes a second.
 */
const FULL_BACKOFF_MS = 120;

/**
 * Added to the load score of a slow runner; larger than any share of slots that
 * an entry uses at a runner.
 */
const SLOW_PENALTY = 1000;

/**
 * Added to the load score of a cold runner: it comes after warm ones of which
 * this entry uses fewer than all slots.
 */
const COLD_PENALTY = 1;

/**
 * Backoff for an address at which another runner responds, ms. The runner that
 * was meant is gone; its registration expires after three heartbeats, and until
 * then every request sent there costs its caller an attempt.
 */
const REPLACED_BACKOFF_MS = 2000;

const NO_SLOT_USAGE: SlotUsage = { running: 0, slots: 0 };

export class RunnerPool {
  private readonly runners = new Map<string, Runner>();
  /** Removed runners at which attempts still run. */
  private readonly removedRunners = new Set<Runner>();

  private constructor(private readonly inputs: RunnerPoolInputs) {}

  static create(inputs: RunnerPoolInputs): RunnerPool {
    return new RunnerPool(inputs);
  }

  /** Number of runners that may get requests. */
  get size(): number {
    let size = 0;
    for (const runner of this.runners.values()) {
      if (this.isUsable(runner)) size += 1;
    }
    return size;
  }

  /** Whether all runners that don't leave are in evacuated data centres. */
  get isEvacuated(): boolean {
    const staying = [...this.runners.values()].filter(
      (runner) => !this.isLeaving(runner),
    );
    return staying.length > 0 && this.size === 0;
  }

  /**
   * Time until the first rest ends, ms, if all runners that are in use rest;
   * otherwise undefined.
   */
  get restMs(): number | undefined {
    let untilMs = Number.POSITIVE_INFINITY;
    for (const runner of this.runners.values()) {
      if (!this.isUsable(runner)) continue;
      const runnerUntilMs = this.restUntilMs(runner);
      if (runnerUntilMs === undefined) return undefined;
      untilMs = Math.min(untilMs, runnerUntilMs);
    }
    return Number.isFinite(untilMs) ? untilMs - this.inputs.now() : undefined;
  }

  /** Registrations of the runners that may get requests now. */
  get servers(): readonly BackendServer[] {
    return [...this.runners.values()]
      .filter((runner) => this.mayReceive(runner))
      .map(({ server }) => server);
  }

  /** Whether a request may be sent to the runner now. */
  mayReceive(runner: Runner): boolean {
    return this.isUsable(runner) && this.restUntilMs(runner) === undefined;
  }

  /** Whether the runner is in use: neither evacuated nor leaving. */
  private isUsable(runner: Runner): boolean {
    if (this.isLeaving(runner)) return false;
    return this.inputs.isUsable?.(runner.server) ?? true;
  }

  private isLeaving({ server }: Runner): boolean {
    return this.inputs.statements?.isLeaving(server) ?? false;
  }

  /**
   * Slots of the runners that `isCounted` selects, that may get requests now
   * and that aren't ejected.
   */
  availableSlots(isCounted: (runner: Runner) => boolean): number {
    const nowMs = this.inputs.now();
    let slots = 0;
    for (const runner of this.runners.values()) {
      if (!this.mayReceive(runner)) continue;
      const isAvailable = runner.health.isAvailable(nowMs);
      if (isAvailable && isCounted(runner)) slots += runner.server.slots;
    }
    return slots;
  }

  /**
   * Slot usage summed over the runners that have the same key and may get
   * requests. The slots of a resting runner don't count.
   */
  slotUsageBy(
    keyOf: (runner: Runner) => string,
  ): ReadonlyMap<string, SlotUsage> {
    const usage = new Map<string, SlotUsage>();
    for (const runner of this.runners.values()) {
      if (!this.isUsable(runner)) continue;
      const key = keyOf(runner);
      const { running, slots } = usage.get(key) ?? NO_SLOT_USAGE;
      usage.set(key, {
        running: running + runner.running,
        slots: slots + (this.mayReceive(runner) ? runner.server.slots : 0),
      });
    }
    return usage;
  }

  /**
   * Number of running attempts of this entry at the runners that `isCounted`
   * selects and that may get requests, or the sum of what `countOf` returns for
   * them.
   */
  countRunning(
    isCounted: (runner: Runner) => boolean,
    countOf: (runner: Runner) => number = ({ running }) => running,
  ): number {
    let running = 0;
    for (const runner of this.runners.values()) {
      if (this.isUsable(runner) && isCounted(runner)) {
        running += countOf(runner);
      }
    }
    return running;
  }

  set(server: BackendServer): void {
    const known = this.runners.get(server.id);
    if (known?.server.address === server.address) {
      known.server = server;
      return;
    }
    if (known !== undefined) this.remove(server.id);
    this.runners.set(server.id, {
      server,
      connections: this.inputs.connect(server.address),
      retiredConnections: new Set(),
      health: RunnerHealth.create(this.inputs.random),
      running: 0,
      backoffUntilMs: 0,
      isEnded: false,
    });
  }

  /**
   * Opens new connections for further requests: if one connection has fallen
   * silent, idle ones to the same runner may have too. A runner that has been
   * removed needs none, and its connections are closed already.
   */
  replaceConnections(runner: Runner): void {
    const { connections, server } = runner;
    if (this.runners.get(server.id) !== runner) return;
    runner.connections = this.inputs.connect(server.address);
    void this.closeRetired(runner, connections);
  }

  /** Removes the runner; its running attempts continue to their end. */
  remove(id: string): void {
    const runner = this.runners.get(id);
    if (runner === undefined) return;
    this.runners.delete(id);
    this.measureEjection(id, false);
    if (runner.running > 0) this.removedRunners.add(runner);
    void this.closeConnections(runner.connections);
  }

  /**
   * A later incarnation has started: aborts what runs at the earlier one. Its
   * connections may be silent rather than reset, and callers would wait until
   * their deadline.
   */
  endIncarnation(earlier: BackendServer, later: BackendServer): void {
    const ended = [...this.removedRunners].filter(
      ({ server }) =>
        server.id === earlier.id && !isSameIncarnation(server, later),
    );
    const current = this.runners.get(earlier.id);
    if (current !== undefined && !isSameIncarnation(current.server, later)) {
      this.remove(earlier.id);
      ended.push(current);
    }
    for (const runner of ended) abortConnections(runner, later);
    if (isSameIncarnation(earlier, later)) return;
    this.inputs.limits.forget(earlier.id);
  }

  /**
   * Returns the available runner with the lowest load score. `weigh` changes
   * the score of a runner by what else is known of it.
   */
  selectRunner(
    excluded: ReadonlySet<Runner>,
    isAllowed: (runner: Runner) => boolean = () => true,
    weigh: (runner: Runner, score: number) => number = (_, score) => score,
  ): Runner | undefined {
    const nowMs = this.inputs.now();
    let best: Runner | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const runner of this.runners.values()) {
      if (excluded.has(runner) || !isAllowed(runner)) continue;
      if (!this.mayReceive(runner)) continue;
      if (runner.backoffUntilMs > nowMs) continue;
      if (!runner.health.isAvailable(nowMs)) continue;
      if (!this.inputs.limits.isOpen(runner.server.id)) continue;
      const score = weigh(runner, this.loadScoreOf(runner));
      if (score >= bestScore) continue;
      best = runner;
      bestScore = score;
    }
    return best;
  }

  start(runner: Runner): void {
    runner.running += 1;
    runner.health.onPlaced();
    this.inputs.limits.onSent(runner.server.id);
  }

  release(runner: Runner, verdict: RunnerVerdict): void {
    runner.running -= 1;
    if (runner.running === 0) this.removedRunners.delete(runner);
    if (runner.isEnded) return;
    const { health, server } = runner;
    const nowMs = this.inputs.now();
    switch (verdict) {
      case "served":
        if (health.onSucceeded()) {
          this.inputs.emit(152, { runner: server.id });
          this.measureEjection(server.id, false);
        }
        return;
      case "failed":
      case "lost":
      case "unreachable":
        // A runner that is out of use may end at any time.
        if (!this.isUsable(runner)) {
          health.onInconclusive();
          return;
        }
        this.reportLoss(server.id, verdict);
        if (health.onFailed(nowMs)) {
          const { id: name, service: pool } = server;
          this.inputs.emit(151, { runner: name, pool });
          if (this.runners.get(name) === runner) {
            this.measureEjection(name, true);
          }
        }
        return;
      case "full":
        runner.backoffUntilMs = nowMs + FULL_BACKOFF_MS;
        health.onInconclusive();
        return;
      case "replaced":
        runner.backoffUntilMs = nowMs + REPLACED_BACKOFF_MS;
        health.onInconclusive();
        return;
      case "server-error":
      case "resting":
      case "none":
        health.onInconclusive();
    }
  }

  private measureEjection(runner: string, isEjected: boolean): void {
    const labels = { runner, cause: "ejected" };
    const value = isEjected ? 1 : undefined;
    this.inputs.measurements.set("runnerHeldBack", value, labels);
  }

  private restUntilMs({ server }: Runner): number | undefined {
    return this.inputs.statements?.restUntilMs(server);
  }

  private reportLoss(runner: string, verdict: RunnerVerdict): void {
    const { limits } = this.inputs;
    if (verdict === "unreachable") limits.onUnreachable(runner);
    if (verdict === "lost") limits.onLost(runner);
  }

  async close(): Promise<void> {
    const all = [...this.runners.values()];
    this.runners.clear();
    await Promise.all(
      all.map((runner) => this.closeConnections(runner.connections)),
    );
  }

  private async closeRetired(
    runner: Runner,
    connections: RunnerConnections,
  ): Promise<void> {
    runner.retiredConnections.add(connections);
    await this.closeConnections(connections);
    runner.retiredConnections.delete(connections);
  }

  /** A failure to close is logged and must not end the process. */
  private async closeConnections(
    connections: RunnerConnections,
  ): Promise<void> {
    try {
      await connections.close();
    } catch (error) {
      const { number, message } = toFailure(error, 1215);
      this.inputs.emit(105, {
        task: "close connections",
        error: number,
        reason: message,
      });
    }
  }

  /**
   * Share of the runner's slots that this entry uses. Ties are broken at random
   * with a preference for runners in the entry's own data centre. A slow runner
   * comes after all others whatever their load, because the requests that it
   * runs delay its whole group.
   */
  private loadScoreOf({ server, running }: Runner): number {
    const { random, dataCentre, isSlow } = this.inputs;
    const distancePenalty = server.dataCentre === dataCentre ? 0 : 0.25;
    const { address, startedAtMs } = server;
    const coldPenalty = this.inputs.limits.isCold(server.id) ? COLD_PENALTY : 0;
    const slowPenalty = isSlow(address, startedAtMs) ? SLOW_PENALTY : 0;
    const usage =
      (running + distancePenalty + random() * 0.5) / Math.max(1, server.slots);
    return usage + slowPenalty + coldPenalty;
  }
}

function isSameIncarnation(one: BackendServer, other: BackendServer): boolean {
  return one.id === other.id && one.startedAtMs === other.startedAtMs;
}

/**
 * Aborts the connections of an earlier incarnation. If the later one has the
 * same address, connections opened since its start lead to it and are kept.
 */
function abortConnections(runner: Runner, later: BackendServer): void {
  runner.isEnded = true;
  const { address, startedAtMs } = later;
  const isSameAddress = runner.server.address === address;
  for (const connections of [
    runner.connections,
    ...runner.retiredConnections,
  ]) {
    if (isSameAddress && startedAtMs !== undefined) {
      connections.abortOpenedBefore(startedAtMs);
    } else {
      connections.abortAll();
    }
  }
}
