/**
 * Slow runners, as published by the planner of their group.
 *
 * All ranks of a group execute each step together, so an entry can't tell which
 * rank is slow: all of its streams stall alike. A slow rank with requests of
 * its own slows the whole group down; without them, the others run at almost
 * full speed. The planner knows the pace of every rank anyway and publishes the
 * unusual ones.
 */
import * as z from "zod";
import { raise, toFailure, type Emit, type Now } from "../internal.js";
import { decodeJson } from "../platform/json-value.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { isHostPort } from "./host-port.js";
import { compareIncarnations, type IncarnationStart } from "./incarnation.js";
import type { BackendServer } from "./types.js";

/** Pace of one rank. */
export interface PaceNote {
  /** host:port of the runner. */
  readonly address: string;
  /** Factor by which the rank takes longer than usual for its work. */
  readonly slowness: number;
  /** Incarnation of the runner that the note describes. */
  readonly startedAtMs: IncarnationStart;
}

/** A rank counts as slow from this factor on. */
export const SLOW_THRESHOLD = 1.5;

/**
 * How long a note applies unless it is published again, ms. If its writer is
 * gone, nobody reports that the rank has recovered; it must not be excluded
 * forever.
 */
export const PACE_NOTE_TTL_MS = 9000;

/** Stream name under which unreadable notes are reported. */
export const PACE_STREAM = "pace";

/** Older readers ignore `startedAtMs`; older writers omit it. */
const valueSchema = z.object({
  slowness: z.number().positive(),
  startedAtMs: z.int().optional(),
});

export function encodePaceNote({ slowness, startedAtMs }: PaceNote): Buffer {
  return Buffer.from(JSON.stringify({ slowness, startedAtMs }));
}

/** Undefined for a removed key. Throws 1903. */
export function decodePaceNote({
  key,
  value,
}: KeyedRecord): PaceNote | undefined {
  if (value === undefined) return undefined;
  if (!isHostPort(key))
    return raise(1903, { reason: "the key is not a host:port" });
  const { slowness, startedAtMs } = decodeJson(valueSchema, value);
  return { address: key, slowness, startedAtMs };
}

/**
 * Returns the readable notes and reports the others as findings. Doesn't throw.
 */
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
      findings.report({ stream: PACE_STREAM, key, content: value, reason });
      return [];
    }
  });
}

interface SlowRunner {
  readonly startedAtMs: IncarnationStart;
  /** When the note expires, monotonic ms. */
  readonly untilMs: number;
}

export class SlowRunners {
  /** Slow runners by address. */
  private readonly slow = new Map<string, SlowRunner>();

  private constructor(
    private readonly now: Now,
    private readonly emit: Emit,
  ) {}

  static create(now: Now, emit: Emit): SlowRunners {
    return new SlowRunners(now, emit);
  }

  apply({ address, slowness, startedAtMs }: PaceNote): void {
    this.removeExpired();
    const known = this.slow.get(address);
    const order = compareIncarnations(known?.startedAtMs, startedAtMs);
    // A late note of an earlier incarnation must not override one of a later
    // one.
    if (order === "earlier") return;
    const isSlow = slowness >= SLOW_THRESHOLD;
    if (isSlow !== this.isSlow(address, startedAtMs)) {
      this.emit(217, { address, slowness });
    }
    if (!isSlow) {
      this.slow.delete(address);
      return;
    }
    const untilMs = this.now() + PACE_NOTE_TTL_MS;
    this.slow.set(address, { startedAtMs, untilMs });
  }

  /**
   * Notes of addresses that are no longer used are never withdrawn; they only
   * expire.
   */
  private removeExpired(): void {
    const nowMs = this.now();
    for (const [address, { untilMs }] of this.slow) {
      if (untilMs <= nowMs) this.slow.delete(address);
    }
  }

  /** A note of an earlier incarnation at the address doesn't apply. */
  isSlow(address: string, startedAtMs: IncarnationStart): boolean {
    const known = this.slow.get(address);
    if (known === undefined || known.untilMs <= this.now()) return false;
    return compareIncarnations(known.startedAtMs, startedAtMs) !== "later";
  }

  /**
   * The incarnation has ended. A note without a start time is deleted with it:
   * if the later incarnation is slow as well, it is published again within
   * seconds.
   */
  forget({
    address,
    startedAtMs,
  }: Pick<BackendServer, "address" | "startedAtMs">): void {
    const known = this.slow.get(address);
    if (known === undefined) return;
    const order = compareIncarnations(startedAtMs, known.startedAtMs);
    if (order !== "later") this.slow.delete(address);
  }
}
