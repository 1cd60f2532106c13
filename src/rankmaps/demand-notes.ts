/**
 * Keeps what a group was asked for last in the platform's store. After a loss
 * of all VMs the engines begin on their first map with all callers back at
 * once, and much of what is asked for is as before: the first planner can make
 * a map before anything is counted.
 */
import { z } from "zod";
import { raise, toFailure, type Emit, type Now } from "../internal.js";
import { decodeJson } from "../platform/json-value.js";
import type {
  KeyedRecord,
  KeyedTopic,
  KeyedWriter,
} from "../platform/keyed-topic.js";

/**
 * Between two notes, ms. Demand turns every few seconds at the soonest, and
 * each write is paid for.
 */
const NOTE_INTERVAL_MS = 2000;
/** Shares are kept in a byte each, of the most wanted expert. */
const FULL_SHARE = 255;

/** The name under which failures of the notes are told. */
export const DEMAND_STREAM = "demand";

const valueSchema = z.object({ shares: z.base64() });

export interface DemandNotesOptions {
  readonly topic: KeyedTopic;
  readonly writer: KeyedWriter;
  readonly now: Now;
  readonly emit: Emit;
}

export class DemandNotes {
  private notedAtMs = Number.NEGATIVE_INFINITY;
  private isWriting = false;

  private constructor(private readonly options: DemandNotesOptions) {}

  static create(options: DemandNotesOptions): DemandNotes {
    return new DemandNotes(options);
  }

  /** Never waits: what can't be written is written after a later look. */
  note(group: string, tokens: ArrayLike<number>): void {
    const nowMs = this.options.now();
    if (this.isWriting || nowMs - this.notedAtMs < NOTE_INTERVAL_MS) return;
    this.notedAtMs = nowMs;
    void this.write(group, encodeDemand(tokens));
  }

  /** Shares of the experts, of any scale; undefined if none can be read. */
  async read(
    group: string,
    signal: AbortSignal,
  ): Promise<readonly number[] | undefined> {
    try {
      const { records } = await this.options.topic.newest(signal);
      const newest = records.findLast(({ key }) => key === group);
      return newest === undefined ? undefined : decodeDemand(newest);
    } catch (error) {
      this.tell(error);
      return undefined;
    }
  }

  private async write(group: string, value: Buffer): Promise<void> {
    this.isWriting = true;
    try {
      await this.options.writer.put(group, value);
    } catch (error) {
      this.tell(error);
    }
    this.isWriting = false;
  }

  private tell(error: unknown): void {
    const { message } = toFailure(error, 1901);
    this.options.emit(191, { stream: DEMAND_STREAM, reason: message });
  }
}

export function encodeDemand(tokens: ArrayLike<number>): Buffer {
  const counts = Array.from(tokens);
  const most = Math.max(1, ...counts);
  const bytes = counts.map((count) => Math.round((count / most) * FULL_SHARE));
  const shares = Buffer.from(bytes).toString("base64");
  return Buffer.from(JSON.stringify({ shares }));
}

/** Undefined for a key that was dropped. Throws 1903. */
export function decodeDemand({
  value,
}: KeyedRecord): readonly number[] | undefined {
  if (value === undefined) return undefined;
  const { shares } = decodeJson(valueSchema, value);
  const decoded = [...Buffer.from(shares, "base64")];
  return decoded.some((share) => share > 0)
    ? decoded
    : raise(1903, { reason: "a note of no demand" });
}
