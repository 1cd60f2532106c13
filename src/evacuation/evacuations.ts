/**
 * The data centres that the operator has evacuated: their runners get no new
 * requests until the operator removes the record. What runs there continues to
 * its end. Without the store, what was read last stays in force.
 *
 * The store may be rolled back to an older copy. An evacuation that is missing
 * from the copy stays in force for a while, so that the operator can request it
 * again; one that was taken back and is in the copy doesn't return.
 */
import {
  failure,
  toFailure,
  type Emit,
  type Measurements,
  type Now,
} from "../internal.js";
import type { ScheduleAfter } from "../membership/types.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { CONFIGURATION_STREAM } from "../routing/newest-configuration.js";
import type { EvacuationRecord } from "./types.js";

export interface EvacuationsOptions {
  readonly now: Now;
  readonly after: ScheduleAfter;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly findings: RecordFindings;
  /**
   * Undefined for other records. Throws 1903 for an evacuation whose data
   * centre can't be read.
   */
  readonly decode: (record: KeyedRecord) => EvacuationRecord | undefined;
  /** Whether any runner is registered in the data centre. */
  readonly hasRunnersIn: (dataCentre: string) => boolean;
  /** Called after evacuations have begun or ended. */
  readonly onChanged: (ended: readonly string[]) => void;
}

/**
 * How long an evacuation that a rollback has removed stays in force, and how
 * long one that was taken back can't be brought back by a rollback, ms.
 */
export const ROLLBACK_RETENTION_MS = 60_000;
/** Evacuations in force at one time; further ones are left out. */
export const MAXIMUM_EVACUATIONS = 256;

/** Why an evacuation ended, for the log. */
type EndCause = "removed" | "missing" | "lapsed";

export class Evacuations {
  /** When each evacuation ends unless its record appears again, monotonic ms. */
  private readonly evacuated = new Map<string, number | undefined>();
  /** When evacuations were taken back, monotonic ms. */
  private readonly takenBackAtMs = new Map<string, number>();
  /** Evacuations reported because no runner is in their data centre. */
  private readonly reportedUnknown = new Set<string>();
  private rolledBackAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: EvacuationsOptions) {}

  static create(options: EvacuationsOptions): Evacuations {
    return new Evacuations(options);
  }

  get dataCentres(): readonly string[] {
    return [...this.evacuated.keys()];
  }

  isEvacuated(dataCentre: string): boolean {
    return this.evacuated.size > 0 && this.evacuated.has(dataCentre);
  }

  /** The store was rolled back to an older copy, which is read next. */
  onStoreRolledBack(): void {
    this.rolledBackAtMs = this.options.now();
  }

  /** Applies changed records, in write order. Doesn't throw. */
  apply(records: readonly KeyedRecord[]): void {
    this.change(() => {
      for (const { dataCentre, state } of this.read(records)) {
        if (state === "removed") this.end(dataCentre, "removed");
        if (state === "evacuated") this.begin(dataCentre);
      }
    });
  }

  /** Applies a reading of the whole topic. Doesn't throw. */
  replace(records: readonly KeyedRecord[]): void {
    this.change(() => {
      const seen = new Set<string>();
      for (const { dataCentre, state } of this.read(records)) {
        if (state === "removed") continue;
        seen.add(dataCentre);
        if (state === "unreadable" || this.isOutdated(dataCentre)) continue;
        this.begin(dataCentre);
      }
      for (const dataCentre of this.dataCentres) {
        if (seen.has(dataCentre)) continue;
        if (this.isAfterRollback) this.retain(dataCentre);
        else this.end(dataCentre, "missing");
      }
    });
  }

  /**
   * The register has been read: logs each evacuated data centre in which no
   * runner is registered, once for each evacuation.
   */
  reportUnknown(): void {
    const { hasRunnersIn, emit } = this.options;
    for (const dataCentre of this.dataCentres) {
      if (this.reportedUnknown.has(dataCentre)) continue;
      if (hasRunnersIn(dataCentre)) continue;
      this.reportedUnknown.add(dataCentre);
      emit(243, { dataCentre });
    }
  }

  private get isAfterRollback(): boolean {
    return this.options.now() - this.rolledBackAtMs < ROLLBACK_RETENTION_MS;
  }

  private change(run: () => void): void {
    const before = new Set(this.dataCentres);
    run();
    const ended = [...before].filter((name) => !this.isEvacuated(name));
    const hasBegun = this.dataCentres.some((name) => !before.has(name));
    if (hasBegun || ended.length > 0) this.options.onChanged(ended);
  }

  private begin(dataCentre: string): void {
    const isNew = !this.evacuated.has(dataCentre);
    this.evacuated.set(dataCentre, undefined);
    this.takenBackAtMs.delete(dataCentre);
    if (!isNew) return;
    this.options.emit(241, { dataCentre });
    this.measure(dataCentre, 1);
  }

  private end(dataCentre: string, cause: EndCause): void {
    this.rememberTakenBack(dataCentre);
    if (!this.evacuated.delete(dataCentre)) return;
    this.reportedUnknown.delete(dataCentre);
    this.options.emit(242, { dataCentre, cause });
    this.measure(dataCentre, 0);
  }

  private measure(dataCentre: string, value: 0 | 1): void {
    const labels = { evacuated: dataCentre };
    this.options.measurements.set("dataCentreEvacuated", value, labels);
  }

  private rememberTakenBack(dataCentre: string): void {
    const { now, after } = this.options;
    const atMs = now();
    this.takenBackAtMs.set(dataCentre, atMs);
    after(ROLLBACK_RETENTION_MS, () => {
      if (this.takenBackAtMs.get(dataCentre) !== atMs) return;
      this.takenBackAtMs.delete(dataCentre);
    });
  }

  /** Whether the record of an ended evacuation returned with an older copy. */
  private isOutdated(dataCentre: string): boolean {
    return this.isAfterRollback && this.takenBackAtMs.has(dataCentre);
  }

  private retain(dataCentre: string): void {
    if (this.evacuated.get(dataCentre) !== undefined) return;
    const { now, after } = this.options;
    const endsAtMs = now() + ROLLBACK_RETENTION_MS;
    this.evacuated.set(dataCentre, endsAtMs);
    after(ROLLBACK_RETENTION_MS, () => {
      if (this.evacuated.get(dataCentre) !== endsAtMs) return;
      this.change(() => {
        this.end(dataCentre, "lapsed");
      });
    });
  }

  /** Reads each record only after the one before it was applied. */
  private *read(
    records: readonly KeyedRecord[],
  ): Generator<EvacuationRecord, void, undefined> {
    for (const record of records) {
      const decoded = this.readRecord(record);
      if (decoded !== undefined) yield decoded;
    }
  }

  private readRecord(record: KeyedRecord): EvacuationRecord | undefined {
    try {
      const decoded = this.options.decode(record);
      if (decoded?.state === "unreadable") {
        this.report(record, "the value is not a JSON object");
      }
      if (decoded?.state === "evacuated") this.checkRoomFor(decoded.dataCentre);
      return decoded;
    } catch (error) {
      this.report(record, toFailure(error, 1903).message);
      return undefined;
    }
  }

  /** Throws 1903 if no further evacuation can be held. */
  private checkRoomFor(dataCentre: string): void {
    if (this.evacuated.size < MAXIMUM_EVACUATIONS) return;
    if (this.evacuated.has(dataCentre)) return;
    throw failure(1903, { reason: `over ${MAXIMUM_EVACUATIONS} evacuations` });
  }

  private report(
    { key, value = Buffer.alloc(0) }: KeyedRecord,
    reason: string,
  ): void {
    const { findings } = this.options;
    findings.report({
      stream: CONFIGURATION_STREAM,
      key,
      content: value,
      reason,
    });
  }
}
