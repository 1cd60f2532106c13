/**
 * Numbered events of one process: JSON lines by bunyan, and the last few
 * thousand in memory for the time line.
 */
import bunyan from "bunyan";
import {
  compareReadings,
  eventTable,
  type ClockReading,
  type Emit,
  type EventEntry,
  type EventFields,
  type EventNumber,
  type HybridClock,
} from "../internal.js";
import {
  BoundedOutput,
  writeStandardOutput,
  type WriteOut,
} from "./bounded-output.js";
import { LineBudget } from "./line-budget.js";

/** About 2 MB; some minutes of a busy entry. */
const KEPT_EVENTS = 4096;

export interface TimelineEvent {
  readonly process: string;
  readonly clock: ClockReading;
  readonly number: EventNumber;
  readonly name: string;
  readonly level: string;
  readonly fields: EventFields;
}

export interface EventFilter {
  /** Keeps events with this value in any of their fields. */
  readonly value?: string;
  /** Milliseconds since the Unix epoch. */
  readonly sinceMs?: number;
}

export class EventLog {
  private readonly kept: TimelineEvent[] = [];
  private next = 0;

  private readonly budget = LineBudget.create(() => performance.now());
  private readonly output: BoundedOutput;
  private readonly logger: bunyan;

  private constructor(
    private readonly process: string,
    private readonly clock: HybridClock,
    level: bunyan.LogLevel,
    writeOut: WriteOut,
  ) {
    this.output = BoundedOutput.create({
      writeOut,
      onDropped: (lines) => {
        this.emit(106, { event: null, lines, reason: "reader stalled" });
      },
    });
    const stream = {
      write: (line: string) => {
        this.output.write(line);
      },
    };
    this.logger = bunyan.createLogger({
      name: process,
      streams: [{ level, stream: stream as NodeJS.WritableStream }],
    });
  }

  static create(
    process: string,
    clock: HybridClock,
    level: bunyan.LogLevel,
    writeOut: WriteOut = writeStandardOutput,
  ): EventLog {
    return new EventLog(process, clock, level, writeOut);
  }

  /** Writes what is held, before the process ends; a stalled reader is left. */
  async close(): Promise<void> {
    await this.output.close();
  }

  readonly emit: Emit = (number, fields = {}) => {
    const entry: EventEntry = eventTable[number];
    const clock = this.clock.read();
    const { name, level } = entry;
    this.keep({ process: this.process, clock, number, name, level, fields });
    for (const [event, lines] of this.budget.turn()) {
      this.line(106, clock, { event, lines, reason: "budget" });
    }
    if (this.budget.take(number, level)) this.line(number, clock, fields);
  };

  private line(
    number: EventNumber,
    clock: ClockReading,
    fields: EventFields,
  ): void {
    const { name, level } = eventTable[number];
    this.logger[level]({ event: number, clock, ...fields }, name);
  }

  /** Kept events in the order of their clock readings. */
  select(filter: EventFilter): TimelineEvent[] {
    const { value, sinceMs = 0 } = filter;
    return this.kept
      .filter(({ clock }) => clock.physicalMs >= sinceMs)
      .filter(
        ({ fields }) =>
          value === undefined || Object.values(fields).includes(value),
      )
      .sort((a, b) => compareReadings(a.clock, b.clock));
  }

  private keep(event: TimelineEvent): void {
    this.kept[this.next] = event;
    this.next = (this.next + 1) % KEPT_EVENTS;
  }
}
