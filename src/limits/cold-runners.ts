/**
 * Which runners are cold, where the configuration names a rate for cold ones. A
 * runner's registration says so, and so do its answers. The register lags
 * behind, so a runner that may just have become cold is treated as cold until a
 * later registration shows it warm.
 */
import type { Emit, Measurements, Now } from "../internal.js";
import type { BackendServer } from "../membership/types.js";
import type { ColdService } from "./types.js";

export interface ColdRunnersInputs {
  readonly now: Now;
  readonly emit: Emit;
  readonly measurements: Measurements;
  /** Undefined if the service has no rate for cold runners. */
  readonly serviceNamed: (name: string) => ColdService | undefined;
}

/** Why a runner is treated as cold, for the log. */
export type ColdCause = "register" | "answer" | "evacuation" | "failure";

/**
 * Registrations after which a runner's state is known again. The next one may
 * have been written before, because the register is read with a delay.
 */
const REGISTRATIONS_UNTIL_KNOWN = 2;
/**
 * Time after which a registration that is read then was written since, ms. Where
 * the register couldn't be read for a while, several heartbeats come at once.
 */
const REGISTRATION_AGE_MS = 1800;
/** Longest delay of a registration: two heartbeats and their reading, ms. */
const REGISTER_DELAY_MS = 3000;

/**
 * Lost connections without an answer between that show that the runner starts
 * again. A runner that works loses single ones, also when it closes an idle
 * connection just as a request is sent on it.
 */
const LOSSES_OF_A_CRASH = 2;

interface ColdState {
  readonly server: BackendServer;
  /** Until when the registration shows it cold, monotonic ms. */
  readonly registeredUntilMs: number;
  /** Until when its answers show it cold, monotonic ms. */
  answeredUntilMs: number;
  /** Connections lost since its last answer. */
  losses: number;
  assumed: Assumption | undefined;
}

interface Assumption {
  /** Heartbeat from which a registration shows the state since. */
  readonly knownFromHeartbeat: number;
  /** Time from which such a registration counts, monotonic ms. */
  readonly knownFromMs: number;
  /** Monotonic ms. */
  readonly untilMs: number;
}

export class ColdRunners {
  private readonly states = new Map<string, ColdState>();

  private constructor(private readonly inputs: ColdRunnersInputs) {}

  static create(inputs: ColdRunnersInputs): ColdRunners {
    return new ColdRunners(inputs);
  }

  /** Whether a runner is registered in the data centre. */
  hasRunnersIn(dataCentre: string): boolean {
    return [...this.states.values()].some(
      ({ server }) => server.dataCentre === dataCentre,
    );
  }

  /** A registration was read. */
  onRegistered(server: BackendServer): void {
    const { id, startedAtMs, heartbeat, coldLeftMs } = server;
    const known = this.states.get(id);
    const wasCold = this.isCold(id);
    const isSame =
      known !== undefined && known.server.startedAtMs === startedAtMs;
    const assumed = isSame ? known.assumed : undefined;
    const isKnown =
      assumed !== undefined &&
      heartbeat >= assumed.knownFromHeartbeat &&
      this.inputs.now() >= assumed.knownFromMs;
    this.states.set(id, {
      server,
      registeredUntilMs:
        coldLeftMs > 0
          ? this.inputs.now() + coldLeftMs
          : Number.NEGATIVE_INFINITY,
      losses: isSame ? known.losses : 0,
      answeredUntilMs: isSame
        ? known.answeredUntilMs
        : Number.NEGATIVE_INFINITY,
      assumed: isKnown ? undefined : assumed,
    });
    this.onChanged(id, wasCold, "register");
  }

  /**
   * The runner has answered. `coldMs`: for how long it says that it stays cold;
   * undefined if it doesn't say.
   */
  onAnswer(runner: string, coldMs: number | undefined): void {
    const state = this.states.get(runner);
    if (state === undefined) return;
    state.losses = 0;
    if (coldMs === undefined) return;
    const wasCold = this.isCold(runner);
    state.answeredUntilMs =
      coldMs > 0 ? this.inputs.now() + coldMs : Number.NEGATIVE_INFINITY;
    this.onChanged(runner, wasCold, "answer");
  }

  /** The runner's address refuses connections: it starts again. */
  onUnreachable(runner: string): void {
    this.assumeCold(runner, "failure");
  }

  /** A connection to the runner was lost, has fallen silent or wasn't opened. */
  onLost(runner: string): void {
    const state = this.states.get(runner);
    if (state === undefined) return;
    state.losses += 1;
    if (state.losses >= LOSSES_OF_A_CRASH) this.assumeCold(runner, "failure");
  }

  /** The evacuation of the data centre has ended. */
  onEvacuationEnded(dataCentre: string): void {
    for (const [runner, { server }] of this.states) {
      if (server.dataCentre !== dataCentre) continue;
      this.assumeCold(runner, "evacuation");
    }
  }

  /** The runner gets no requests any more. */
  forget(runner: string): void {
    const wasCold = this.isCold(runner);
    this.states.delete(runner);
    if (wasCold) this.measure();
  }

  isCold(runner: string): boolean {
    return this.rateOf(runner) !== undefined;
  }

  /** Rate of a cold runner, requests/s; undefined if it isn't cold. */
  rateOf(runner: string): number | undefined {
    const state = this.states.get(runner);
    if (state === undefined) return undefined;
    const service = this.inputs.serviceNamed(state.server.service);
    if (service === undefined) return undefined;
    const untilMs = Math.max(
      state.registeredUntilMs,
      state.answeredUntilMs,
      state.assumed?.untilMs ?? Number.NEGATIVE_INFINITY,
    );
    const isCold = this.inputs.now() < untilMs;
    return isCold ? service.requestsPerSecond : undefined;
  }

  private assumeCold(runner: string, cause: ColdCause): void {
    const state = this.states.get(runner);
    if (state === undefined) return;
    const service = this.inputs.serviceNamed(state.server.service);
    if (service === undefined) return;
    const wasCold = this.isCold(runner);
    const nowMs = this.inputs.now();
    state.assumed = {
      knownFromHeartbeat: state.server.heartbeat + REGISTRATIONS_UNTIL_KNOWN,
      knownFromMs: nowMs + REGISTRATION_AGE_MS,
      untilMs: nowMs + service.startMs + REGISTER_DELAY_MS,
    };
    this.onChanged(runner, wasCold, cause);
  }

  private onChanged(runner: string, wasCold: boolean, cause: ColdCause): void {
    const isCold = this.isCold(runner);
    if (isCold === wasCold) return;
    if (isCold) this.inputs.emit(244, { runner, cause });
    this.measure();
  }

  private measure(): void {
    const cold = [...this.states.keys()].filter((id) => this.isCold(id));
    this.inputs.measurements.set("coldRunners", cold.length);
  }
}
