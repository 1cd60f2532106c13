/**
 * Runners that work slowly, as the planner of their group tells the entries.
 *
 * All ranks of a group make each step together, so an entry can't see which of
 * them is the slow one: all of its streams pause alike. A slow rank with work
 * of its own keeps the whole group at its pace; left without, the others go on
 * almost as before. The planner reads every rank's pace anyway, free of cost,
 * and writes down what is out of the ordinary.
 */
import { z } from "zod";
import { raise, toFailure, type Emit, type Now } from "../internal.js";
import { decodeJson } from "../platform/json-value.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { isHostPort } from "./host-port.js";
import type { LifeStart } from "./life.js";

/** One rank's pace. */
export interface PaceNote {
  /** host:port of the runner. */
  readonly address: string;
  /** How many times as long as usual it takes for its work. */
  readonly slowness: number;
  /** Life of the runner that the note is about. */
  readonly startedAtMs: LifeStart;
}

/** A rank counts as slow from here on. */
export const SLOW_FROM = 1.5;

/**
 * A note that isn't written again counts for this time, ms: when its writer is
 * gone and nobody says that the rank has recovered, it isn't left out for good.
 */
export const NOTE_LASTS_MS = 9000;

/** The name under which findings on notes are told. */
export const PACE_STREAM = "pace";

/** An older reader passes over the start; an older writer gives none. */
const valueSchema = z.object({
  slowness: z.number().positive(),
  startedAtMs: z.int().optional(),
});

export function encodePaceNote({ slowness, startedAtMs }: PaceNote): Buffer {
  return Buffer.from(JSON.stringify({ slowness, startedAtMs }));
}

/** Undefined for a key that was dropped. Throws 1903. */
export function decodePaceNote({
  key,
  value,
}: KeyedRecord): PaceNote | undefined {
  if (value === undefined) return undefined;
  if (!isHostPort(key))
    return raise(1903, { reason: "the key is no host:port" });
  const { slowness, startedAtMs } = decodeJson(valueSchema, value);
  return { address: key, slowness, startedAtMs };
}

/** The notes that can be read; the others are findings. Doesn't throw. */
export function readPaceNotes(
  records: readonly KeyedRecord[],
  findings: RecordFindings,
): readonly PaceNote[] {
  return records.flatMap((record) => {
    try {
      return decodePaceNote(record) ?? [];
    } catch (error) {
      const { key, value = Buffer.alloc(0) } = record;
      const reason = toFailure(error, 1903).message;
      findings.note({ stream: PACE_STREAM, key, content: value, reason });
      return [];
    }
  });
}

export class SlowRunners {
  /** Address to the monotonic time until which its note counts, ms. */
  private readonly slowUntilMs = new Map<string, number>();

  private constructor(
    private readonly now: Now,
    private readonly emit: Emit,
  ) {}

  static create(now: Now, emit: Emit): SlowRunners {
    return new SlowRunners(now, emit);
  }

  take({ address, slowness }: PaceNote): void {
    const isSlow = slowness >= SLOW_FROM;
    if (isSlow !== this.isSlow(address)) {
      this.emit(217, { address, slowness });
    }
    this.forgetLapsed();
    if (isSlow) this.slowUntilMs.set(address, this.now() + NOTE_LASTS_MS);
    else this.slowUntilMs.delete(address);
  }

  /** Addresses come and go; nobody takes back a note of one that is gone. */
  private forgetLapsed(): void {
    for (const address of this.slowUntilMs.keys()) {
      if (!this.isSlow(address)) this.slowUntilMs.delete(address);
    }
  }

  isSlow(address: string): boolean {
    const untilMs = this.slowUntilMs.get(address);
    return untilMs !== undefined && untilMs > this.now();
  }
}
