/**
 * Entries that share a runner's limit, in virtual time. Each sends a request
 * whenever it may; the runner names its limit in every answer.
 */
import {
  LIMIT_RECORD_TTL_MS,
  RunnerLimits,
} from "../../src/limits/runner-limits.js";
import type { LimitRecord } from "../../src/limits/types.js";
import {
  createRandom,
  ignoreEvents,
  ignoreMeasurements,
  type Random,
} from "../../src/internal.js";
import { VirtualTime } from "../virtual-time.js";

const RUNNER = "r0";
const ANSWER_DELAY_MS = 20;
const STORE_DELAY_MS = 10;
const RENEWAL_INTERVAL_MS = LIMIT_RECORD_TTL_MS / 3;
const WRITE_RETRY_MS = 1000;
/** Interval at which an entry has a request for the runner, ms. */
const REQUEST_INTERVAL_MS = 50;

/** A request that the runner has received. */
export interface Arrival {
  readonly atMs: number;
  readonly entry: number;
}

/** What excuses or concerns one entry in the oracle. */
export interface EntryState {
  /** When it first passed on an answer that names the limit, ms. */
  toldAtMs: number;
  /** When it last restarted, was cut off or connected again, ms. */
  disturbedAtMs: number;
}

interface SimulatedEntry extends EntryState {
  limits: RunnerLimits;
  /** Callbacks of earlier incarnations are ignored. */
  incarnation: number;
  isCut: boolean;
}

export class LimitSimulation {
  readonly arrivals: Arrival[] = [];
  private readonly time = VirtualTime.create(0);
  private readonly random: Random;
  private readonly records = new Map<number, LimitRecord>();
  private readonly members: SimulatedEntry[] = [];
  private rate: number | undefined;

  private constructor(seed: number, entries: number) {
    this.random = createRandom(seed);
    for (let index = 0; index < entries; index += 1) this.addEntry();
  }

  static create(seed: number, entries: number): LimitSimulation {
    return new LimitSimulation(seed, entries);
  }

  get nowMs(): number {
    return this.time.nowMs;
  }

  get entries(): readonly Readonly<EntryState>[] {
    return this.members;
  }

  /** Undefined: the runner names no limit. */
  nameLimit(requestsPerSecond: number | undefined): void {
    this.rate = requestsPerSecond;
    for (const entry of this.members) {
      entry.toldAtMs = Number.POSITIVE_INFINITY;
    }
  }

  addEntry(): void {
    const index = this.members.length;
    this.members.push({
      limits: this.createLimits(index, 0),
      incarnation: 0,
      isCut: false,
      toldAtMs: Number.POSITIVE_INFINITY,
      disturbedAtMs: this.nowMs,
    });
    this.readAll(index);
    this.scheduleRequest(index);
  }

  restart(index: number): void {
    const entry = this.members[index];
    entry.incarnation += 1;
    entry.limits = this.createLimits(index, entry.incarnation);
    entry.toldAtMs = Number.POSITIVE_INFINITY;
    entry.disturbedAtMs = this.nowMs;
    this.readAll(index);
  }

  /** Cuts the entry off from the store, or connects it again. */
  setCut(index: number, isCut: boolean): void {
    const entry = this.members[index];
    entry.isCut = isCut;
    entry.disturbedAtMs = this.nowMs;
    if (isCut) entry.limits.onStoreLost();
    else this.readAll(index);
  }

  /** The store does or doesn't answer any entry; this excuses none of them. */
  setStoreAvailable(isAvailable: boolean): void {
    this.members.forEach((entry, index) => {
      entry.isCut = !isAvailable;
      if (isAvailable) this.readAll(index);
      else entry.limits.onStoreLost();
    });
  }

  advance(durationMs: number): void {
    this.time.advance(durationMs);
  }

  private createLimits(index: number, incarnation: number): RunnerLimits {
    return RunnerLimits.create({
      now: () => this.time.nowMs,
      random: this.random,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      onChanged: () => {
        this.scheduleWrite(index, incarnation, 0);
      },
    });
  }

  private scheduleRequest(index: number): void {
    this.time.schedule(REQUEST_INTERVAL_MS * (0.5 + this.random()), () => {
      this.sendIfOpen(index);
      this.scheduleRequest(index);
    });
  }

  private sendIfOpen(index: number): void {
    const { limits, incarnation } = this.members[index];
    if (!limits.isOpen(RUNNER)) return;
    limits.onSent(RUNNER);
    const sentAtMs = this.nowMs;
    const named = this.rate;
    this.arrivals.push({ atMs: sentAtMs, entry: index });
    this.time.schedule(ANSWER_DELAY_MS, () => {
      const entry = this.members[index];
      if (entry.incarnation !== incarnation) return;
      entry.limits.onAnswer(RUNNER, named, sentAtMs);
      if (named !== undefined && named === this.rate) {
        entry.toldAtMs = Math.min(entry.toldAtMs, this.nowMs);
      }
    });
  }

  private scheduleWrite(
    index: number,
    incarnation: number,
    delayMs: number,
  ): void {
    this.time.schedule(delayMs, () => {
      const entry = this.members[index];
      if (entry.incarnation !== incarnation) return;
      if (entry.isCut) this.scheduleWrite(index, incarnation, WRITE_RETRY_MS);
      else this.write(index, incarnation);
    });
  }

  private write(index: number, incarnation: number): void {
    const { limits } = this.members[index];
    const startedAtMs = this.nowMs;
    const record = limits.ownRecord;
    this.time.schedule(STORE_DELAY_MS, () => {
      const entry = this.members[index];
      if (entry.incarnation !== incarnation || entry.isCut) return;
      this.records.set(index, record);
      limits.onWritten(startedAtMs);
      this.members.forEach((other, reader) => {
        if (reader !== index && !other.isCut) {
          other.limits.apply(String(index), record);
        }
      });
      if (record.limits.length > 0)
        this.scheduleWrite(index, incarnation, RENEWAL_INTERVAL_MS);
    });
  }

  private readAll(index: number): void {
    for (const [other, record] of this.records) {
      if (other !== index) {
        this.members[index].limits.apply(String(other), record);
      }
    }
  }
}
