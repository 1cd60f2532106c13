/**
 * Entries that share the rates of cold runners, in virtual time. Each sends
 * whatever it may to any runner that is open to it.
 */
import { createRequestLimits } from "../../src/direct/request-limits.js";
import type { RequestLimits } from "../../src/direct/runner.js";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
  type Random,
} from "../../src/internal.js";
import { ColdRunners } from "../../src/limits/cold-runners.js";
import { ColdShares } from "../../src/limits/cold-shares.js";
import {
  SHARING_TTL_MS,
  SharingEntries,
} from "../../src/limits/sharing-entries.js";
import { VirtualTime } from "../virtual-time.js";
import { COLD_BOUNDS, mostInWindow } from "./oracle.js";

export interface ColdSimulationOptions {
  readonly seed: number;
  readonly entries: number;
  readonly runners: number;
  /** Rate of a cold runner, requests/s. */
  readonly coldRate: number;
  /** Requests of all callers together, requests/s. */
  readonly demand: number;
}

interface SimulatedEntry {
  readonly name: string;
  sharing: SharingEntries;
  coldRunners: ColdRunners;
  limits: RequestLimits;
  incarnation: number;
  isCut: boolean;
  hasReadRegister: boolean;
  waiting: number;
  nextArrivalAtMs: number;
}

const MS_PER_SECOND = 1000;
const COLD_START_MS = 3000;
/** Longer than any history: an entry without the store hears of no end. */
const COLD_LEFT_MS = 600_000;
const STORE_DELAY_MS = 10;
const WRITE_RETRY_MS = 1000;
const SHARING_RENEWAL_MS = SHARING_TTL_MS / 3;
const HEARTBEAT_MS = 1200;
/** Longest time from a registration until an entry reads it, ms. */
const REGISTER_READ_MS = 600;
const STEP_MS = 10;
/** Requests that an entry keeps waiting at most. */
const MAXIMUM_WAITING = 50;

export class ColdSimulation {
  served = 0;
  /** While set, all requests are sent to other runners that are warm. */
  isHeld = false;
  private readonly time = VirtualTime.create(0);
  private readonly random: Random;
  private readonly members: SimulatedEntry[] = [];
  private readonly records = new Set<string>();
  private readonly arrivals: number[][];
  private heartbeat = 0;
  private hasReturned = false;

  private constructor(private readonly options: ColdSimulationOptions) {
    this.random = createRandom(options.seed);
    this.arrivals = Array.from({ length: options.runners }, () => []);
    for (let index = 0; index < options.entries; index += 1) this.addEntry();
  }

  static create(options: ColdSimulationOptions): ColdSimulation {
    return new ColdSimulation(options);
  }

  get entryCount(): number {
    return this.members.length;
  }

  /** Most requests that any runner got in any second while it was cold. */
  get mostInSecond(): number {
    return Math.max(
      0,
      ...this.arrivals.map((times) => mostInWindow(times, MS_PER_SECOND)),
    );
  }

  /** Runners that got a request. */
  get usedRunners(): number {
    return this.arrivals.filter((times) => times.length > 0).length;
  }

  /** The runners come back together, cold; they don't become warm. */
  returnCold(): void {
    this.hasReturned = true;
    this.beat();
  }

  addEntry(): void {
    const index = this.members.length;
    const name = `entry-${index}`;
    const parts = this.createParts(name);
    this.members.push({ name, ...parts, incarnation: 0, ...this.newState() });
    this.connect(index);
    this.step(index);
  }

  restart(index: number): void {
    const entry = this.members[index];
    const { incarnation, isCut } = entry;
    Object.assign(entry, this.createParts(entry.name), this.newState());
    entry.incarnation = incarnation + 1;
    entry.isCut = isCut;
    if (!isCut) this.connect(index);
  }

  setCut(index: number, isCut: boolean): void {
    const entry = this.members[index];
    if (entry.isCut === isCut) return;
    entry.isCut = isCut;
    if (isCut) entry.sharing.onStoreLost();
    else this.connect(index);
  }

  setStoreAvailable(isAvailable: boolean): void {
    this.members.forEach((_, index) => {
      this.setCut(index, !isAvailable);
    });
  }

  advance(durationMs: number): void {
    this.time.advance(durationMs);
  }

  private newState(): Pick<
    SimulatedEntry,
    "isCut" | "hasReadRegister" | "waiting" | "nextArrivalAtMs"
  > {
    return {
      isCut: false,
      hasReadRegister: false,
      waiting: 0,
      nextArrivalAtMs: this.time.nowMs,
    };
  }

  private createParts(
    name: string,
  ): Pick<SimulatedEntry, "sharing" | "coldRunners" | "limits"> {
    const now = (): number => this.time.nowMs;
    const { random, options } = this;
    const sharing = SharingEntries.create({ name, now });
    const service = {
      requestsPerSecond: options.coldRate,
      startMs: COLD_START_MS,
    };
    const coldRunners = ColdRunners.create({
      now,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      serviceNamed: () => service,
    });
    const limits = createRequestLimits({
      limits: { isOpen: () => true, onSent: noop, forget: noop },
      coldRunners,
      coldShares: ColdShares.create({
        name,
        now,
        random,
        bounds: COLD_BOUNDS,
        entries: () => sharing.names,
      }),
    });
    return { sharing, coldRunners, limits };
  }

  private connect(index: number): void {
    this.later(index, STORE_DELAY_MS, () => {
      const { sharing, name } = this.members[index];
      for (const other of this.records) {
        if (other !== name) sharing.apply(other, true);
      }
      sharing.onRead();
      this.readRegister(index);
    });
    this.write(index);
  }

  private write(index: number): void {
    const startedAtMs = this.time.nowMs;
    const { incarnation } = this.members[index];
    this.time.schedule(STORE_DELAY_MS, () => {
      const entry = this.members[index];
      if (entry.incarnation !== incarnation) return;
      const delayMs = entry.isCut ? WRITE_RETRY_MS : SHARING_RENEWAL_MS;
      this.time.schedule(delayMs, () => {
        if (entry.incarnation === incarnation) this.write(index);
      });
      if (entry.isCut) return;
      this.records.add(entry.name);
      entry.sharing.onWritten(startedAtMs);
      for (const other of this.members) {
        if (other !== entry && !other.isCut) {
          other.sharing.apply(entry.name, true);
        }
      }
    });
  }

  private beat(): void {
    this.heartbeat += 1;
    this.members.forEach((_, index) => {
      this.later(index, this.random() * REGISTER_READ_MS, () => {
        this.readRegister(index);
      });
    });
    this.time.schedule(HEARTBEAT_MS, () => {
      this.beat();
    });
  }

  private readRegister(index: number): void {
    if (!this.hasReturned) return;
    const entry = this.members[index];
    entry.hasReadRegister = true;
    this.arrivals.forEach((_, runner) => {
      entry.coldRunners.onRegistered({
        id: `r${runner}`,
        startedAtMs: 1,
        service: "model",
        address: `10.0.0.${runner}:80`,
        dataCentre: "there",
        slots: 7,
        coldLeftMs: COLD_LEFT_MS,
        isLeaving: false,
        heartbeat: this.heartbeat,
      });
    });
  }

  /** Runs unless the entry has restarted or is cut off by then. */
  private later(index: number, delayMs: number, run: () => void): void {
    const { incarnation } = this.members[index];
    this.time.schedule(delayMs, () => {
      const entry = this.members[index];
      if (entry.incarnation === incarnation && !entry.isCut) run();
    });
  }

  private step(index: number): void {
    const entry = this.members[index];
    const intervalMs =
      (MS_PER_SECOND * this.options.entries) / this.options.demand;
    while (entry.nextArrivalAtMs <= this.time.nowMs) {
      entry.nextArrivalAtMs += intervalMs * 2 * this.random();
      entry.waiting = Math.min(MAXIMUM_WAITING, entry.waiting + 1);
    }
    if (entry.hasReadRegister) this.sendWaiting(entry);
    this.time.schedule(STEP_MS * (0.5 + this.random()), () => {
      this.step(index);
    });
  }

  private sendWaiting(entry: SimulatedEntry): void {
    const first = Math.floor(this.random() * this.arrivals.length);
    for (let offset = 0; offset < this.arrivals.length; offset += 1) {
      if (entry.waiting === 0) return;
      const runner = (first + offset) % this.arrivals.length;
      const id = `r${runner}`;
      if (!entry.limits.isOpen(id) || this.isHeld) continue;
      entry.limits.onSent(id);
      entry.waiting -= 1;
      this.served += 1;
      this.arrivals[runner].push(this.time.nowMs);
    }
  }
}

function noop(): void {
  // No limits are named here.
}
