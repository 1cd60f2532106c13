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
import { orderOfLives, type LifeStart } from "./life.js";
import type { BackendServer } from "./types.js";

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

interface SlowLife {
  readonly startedAtMs: LifeStart;
  /** Monotonic time until which the note counts, ms. */
  readonly untilMs: number;
}

export class SlowRunners {
  /** By address. */
  private readonly slow = new Map<string, SlowLife>();

  private constructor(
    private readonly now: Now,
    private readonly emit: Emit,
  ) {}

  static create(now: Now, emit: Emit): SlowRunners {
    return new SlowRunners(now, emit);
  }

  take({ address, slowness, startedAtMs }: PaceNote): void {
    this.forgetLapsed();
    const known = this.slow.get(address);
    const order = orderOfLives(known?.startedAtMs, startedAtMs);
    // Written late: it must not undo what is known of a later life.
    if (order === "earlier") return;
    const isSlow = slowness >= SLOW_FROM;
    if (isSlow !== this.isSlow(address, startedAtMs)) {
      this.emit(217, { address, slowness });
    }
    if (!isSlow) {
      this.slow.delete(address);
      return;
    }
    const untilMs = this.now() + NOTE_LASTS_MS;
    this.slow.set(address, { startedAtMs, untilMs });
  }

  /** Addresses come and go; nobody takes back a note of one that is gone. */
  private forgetLapsed(): void {
    const nowMs = this.now();
    for (const [address, { untilMs }] of this.slow) {
      if (untilMs <= nowMs) this.slow.delete(address);
    }
  }

  /** A note of an earlier life at the address doesn't count. */
  isSlow(address: string, startedAtMs: LifeStart): boolean {
    const known = this.slow.get(address);
    if (known === undefined || known.untilMs <= this.now()) return false;
    return orderOfLives(known.startedAtMs, startedAtMs) !== "later";
  }

  /**
   * The life is over. A note that doesn't say whose it is goes with it: it is
   * written again within seconds if the later life is slow as well.
   */
  forget({
    address,
    startedAtMs,
  }: Pick<BackendServer, "address" | "startedAtMs">): void {
    const known = this.slow.get(address);
    if (known === undefined) return;
    const order = orderOfLives(startedAtMs, known.startedAtMs);
    if (order !== "later") this.slow.delete(address);
  }
}
