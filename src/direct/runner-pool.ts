/**
 * The runners of one service as one entry sees them: what it runs there
 * itself, and whether they fail. Places a request on the runner that has the
 * smallest part of its slots taken by this entry.
 */
import { toFailure, type Emit, type Now, type Random } from "../internal.js";
import type { LifeStart } from "../membership/life.js";
import type { BackendServer } from "../membership/types.js";
import { RunnerHealth } from "../placement/health.js";
import type { RunnerConnections } from "./runner-connections.js";

/** One life of a runner: a later one gets an object of its own. */
export interface Runner {
  /** Its registration, as last read. */
  server: BackendServer;
  connections: RunnerConnections;
  /** Replaced ones, until what runs there has ended. */
  readonly retired: Set<RunnerConnections>;
  readonly health: RunnerHealth;
  /** Attempts of this entry that run there. */
  running: number;
  /** It refused the last request; nothing is sent before then, ms. */
  fullUntilMs: number;
  /** A later life has begun; what attempts here tell is of no use. */
  isEnded: boolean;
}

/** Part of the slots of some runners that one entry has taken. */
export interface Taken {
  readonly running: number;
  readonly slots: number;
}

/** Tells whether the life at host:port with this start is known to be slow. */
export type IsSlow = (address: string, startedAtMs: LifeStart) => boolean;

export interface RunnerPoolInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  readonly connect: (address: string) => RunnerConnections;
  /** Data centre of this entry. */
  readonly dataCentre: string;
  readonly isSlow: IsSlow;
}

/** How an attempt ended, as far as it tells of the runner. */
export type Verdict = "served" | "failed" | "full" | "replaced" | "none";

/**
 * A runner that was full is tried again after this time, ms: about the time
 * of one of its slots coming free with eight answers of a second each.
 */
const FULL_PAUSE_MS = 120;

/** Times its slots; an entry never has as much at one runner. */
const SLOW_PENALTY = 1000;

/**
 * An address at which another runner answers, ms. The one that was meant is
 * gone; its registration lapses after three heartbeats, and every request sent
 * there until then costs its caller an attempt.
 */
const REPLACED_PAUSE_MS = 2000;

const NOTHING_TAKEN: Taken = { running: 0, slots: 0 };

export class RunnerPool {
  private readonly runners = new Map<string, Runner>();
  /** They get nothing new, and attempts still run there. */
  private readonly departed = new Set<Runner>();

  private constructor(private readonly inputs: RunnerPoolInputs) {}

  static create(inputs: RunnerPoolInputs): RunnerPool {
    return new RunnerPool(inputs);
  }

  get size(): number {
    return this.runners.size;
  }

  /** Registrations of all runners. */
  get servers(): readonly BackendServer[] {
    return Array.from(this.runners.values(), ({ server }) => server);
  }

  /** What this entry runs, and all slots, by the key of a runner. */
  takenBy(keyOf: (runner: Runner) => string): ReadonlyMap<string, Taken> {
    const taken = new Map<string, Taken>();
    for (const runner of this.runners.values()) {
      const key = keyOf(runner);
      const { running, slots } = taken.get(key) ?? NOTHING_TAKEN;
      taken.set(key, {
        running: running + runner.running,
        slots: slots + runner.server.slots,
      });
    }
    return taken;
  }

  /** Attempts of this entry at the runners that `isCounted` picks. */
  runningIn(isCounted: (runner: Runner) => boolean): number {
    let running = 0;
    for (const runner of this.runners.values()) {
      if (isCounted(runner)) running += runner.running;
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
      retired: new Set(),
      health: RunnerHealth.create(this.inputs.random),
      running: 0,
      fullUntilMs: 0,
      isEnded: false,
    });
  }

  /**
   * New connections for what comes next: when one has fallen silent, those that
   * lie idle beside it may have as well. A runner that has left meanwhile needs
   * none, and its old ones are closed already.
   */
  renew(runner: Runner): void {
    const { connections, server } = runner;
    if (this.runners.get(server.id) !== runner) return;
    runner.connections = this.inputs.connect(server.address);
    void this.retire(runner, connections);
  }

  /** What runs there goes on to its end. */
  remove(id: string): void {
    const runner = this.runners.get(id);
    if (runner === undefined) return;
    this.runners.delete(id);
    if (runner.running > 0) this.departed.add(runner);
    void this.closeConnections(runner.connections);
  }

  /**
   * A later life has begun. What runs at the earlier one fails at once: its
   * connections may be silent rather than reset, and callers would wait for
   * nothing until their time is over.
   */
  endLife(earlier: BackendServer, later: BackendServer): void {
    const ended = [...this.departed].filter(
      ({ server }) => server.id === earlier.id && !isSameLife(server, later),
    );
    const current = this.runners.get(earlier.id);
    if (current !== undefined && !isSameLife(current.server, later)) {
      this.remove(earlier.id);
      ended.push(current);
    }
    for (const runner of ended) endConnections(runner, later);
  }

  /** The least taken runner of those allowed that may take work. */
  choose(
    excluded: ReadonlySet<Runner>,
    isAllowed: (runner: Runner) => boolean = () => true,
  ): Runner | undefined {
    const nowMs = this.inputs.now();
    let best: Runner | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const runner of this.runners.values()) {
      if (excluded.has(runner) || !isAllowed(runner)) continue;
      if (runner.fullUntilMs > nowMs) continue;
      if (!runner.health.mayTake(nowMs)) continue;
      const score = this.scoreOf(runner);
      if (score >= bestScore) continue;
      best = runner;
      bestScore = score;
    }
    return best;
  }

  start(runner: Runner): void {
    runner.running += 1;
    runner.health.onPlaced();
  }

  release(runner: Runner, verdict: Verdict): void {
    runner.running -= 1;
    if (runner.running === 0) this.departed.delete(runner);
    if (runner.isEnded) return;
    const { health, server } = runner;
    const nowMs = this.inputs.now();
    switch (verdict) {
      case "served":
        if (health.onSucceeded()) {
          this.inputs.emit(152, { runner: server.id });
        }
        return;
      case "failed":
        if (health.onFailed(nowMs)) {
          const { id: name, service: pool } = server;
          this.inputs.emit(151, { runner: name, pool });
        }
        return;
      case "full":
        runner.fullUntilMs = nowMs + FULL_PAUSE_MS;
        health.onNoVerdict();
        return;
      case "replaced":
        runner.fullUntilMs = nowMs + REPLACED_PAUSE_MS;
        health.onNoVerdict();
        return;
      case "none":
        health.onNoVerdict();
    }
  }

  async close(): Promise<void> {
    const all = [...this.runners.values()];
    this.runners.clear();
    await Promise.all(
      all.map((runner) => this.closeConnections(runner.connections)),
    );
  }

  private async retire(
    runner: Runner,
    connections: RunnerConnections,
  ): Promise<void> {
    runner.retired.add(connections);
    await this.closeConnections(connections);
    runner.retired.delete(connections);
  }

  /** A failure here is worth a line, never the process. */
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
   * Ties go to the own data centre at even odds, else at random. A slow runner
   * comes after all that aren't, however much they have: with work of its own
   * it holds back its whole group.
   */
  private scoreOf({ server, running }: Runner): number {
    const { random, dataCentre, isSlow } = this.inputs;
    const near = server.dataCentre === dataCentre ? 0 : 0.25;
    const { address, startedAtMs } = server;
    const slow = isSlow(address, startedAtMs) ? SLOW_PENALTY : 0;
    const taken = (running + near + random() * 0.5) / Math.max(1, server.slots);
    return taken + slow;
  }
}

function isSameLife(one: BackendServer, other: BackendServer): boolean {
  return one.id === other.id && one.startedAtMs === other.startedAtMs;
}

/** At the same address, connections opened since lead to the later life. */
function endConnections(runner: Runner, later: BackendServer): void {
  runner.isEnded = true;
  const { address, startedAtMs } = later;
  const isThere = runner.server.address === address;
  for (const connections of [runner.connections, ...runner.retired]) {
    if (isThere && startedAtMs !== undefined) {
      connections.endOpenedBefore(startedAtMs);
    } else {
      connections.endAll();
    }
  }
}
