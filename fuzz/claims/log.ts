/** In-memory log of the claims target with the faults of the platform's log. */
import type { LogRecord } from "../../src/internal.js";
import type { VirtualTime } from "../virtual-time.js";

const NETWORK_DELAY_MS = 1;
const MINIMUM_RETENTION_MS = 600_000;

export interface AppendFaults {
  /** The record is stored, but the writer gets no answer. */
  readonly loseAnswer: boolean;
  /** Extra time until the record is stored; unless 0, no answer is sent. */
  readonly delayMs: number;
  readonly duplicate: boolean;
}

export const NO_FAULTS: AppendFaults = {
  loseAnswer: false,
  delayMs: 0,
  duplicate: false,
};

interface Stream {
  readonly startOffset: number;
  readonly records: readonly LogRecord[];
}

const EMPTY_STREAM: Stream = { startOffset: 0, records: [] };

export class FuzzLog {
  isDown = false;
  nextAppend: AppendFaults = NO_FAULTS;
  private readonly streams = new Map<number, Stream>();

  private constructor(
    private readonly time: VirtualTime,
    private readonly onAppended: () => void,
  ) {}

  static create(time: VirtualTime, onAppended: () => void): FuzzLog {
    return new FuzzLog(time, onAppended);
  }

  append(
    stream: number,
    data: Uint8Array,
    onAnswer: (ok: boolean) => void,
  ): void {
    if (this.isDown) {
      this.time.schedule(NETWORK_DELAY_MS, () => {
        onAnswer(false);
      });
      return;
    }
    const { delayMs, loseAnswer, duplicate } = this.nextAppend;
    this.nextAppend = NO_FAULTS;
    this.time.schedule(NETWORK_DELAY_MS + delayMs, () => {
      this.store(stream, data);
      if (duplicate) this.store(stream, data);
      if (!loseAnswer && delayMs === 0)
        this.time.schedule(NETWORK_DELAY_MS, () => {
          onAnswer(true);
        });
    });
  }

  read(
    stream: number,
    from: number,
  ): { readonly startOffset: number; readonly records: readonly LogRecord[] } {
    const { startOffset, records } = this.streams.get(stream) ?? EMPTY_STREAM;
    const first = Math.max(from - startOffset, 0);
    return { startOffset, records: records.slice(first) };
  }

  /** Drops records older than the retention time. */
  trim(): void {
    const limitMs = this.time.nowMs - MINIMUM_RETENTION_MS;
    for (const [name, { startOffset, records }] of this.streams) {
      const kept = records.filter((record) => record.appendedAtMs >= limitMs);
      const dropped = records.length - kept.length;
      const start = startOffset + dropped;
      this.streams.set(name, { startOffset: start, records: kept });
    }
  }

  private store(name: number, data: Uint8Array): void {
    const { startOffset, records } = this.streams.get(name) ?? EMPTY_STREAM;
    const offset = startOffset + records.length;
    const record = { offset, appendedAtMs: this.time.nowMs, data };
    this.streams.set(name, { startOffset, records: [...records, record] });
    this.onAppended();
  }
}
