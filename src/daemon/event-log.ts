/**
 * Logs the numbered events of one process as JSON lines through bunyan, and
 * keeps the last few thousand in memory for the timeline.
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
  type WriteBytes,
} from "./bounded-output.js";
import { LogRateLimiter } from "./log-rate-limiter.js";

/** About 2 MB, or some minutes of a busy entry. */
const MAXIMUM_RECENT_EVENTS = 4096;

export interface TimelineEvent {
  readonly process: string;
  readonly clock: ClockReading;
  readonly number: EventNumber;
  readonly name: string;
  readonly level: string;
  readonly fields: EventFields;
}

export interface EventFilter {
  /** Selects events with this value in any of their fields. */
  readonly value?: string;
  /** Milliseconds since the Unix epoch. */
  readonly sinceMs?: number;
}

export class EventLog {
  private readonly recentEvents: TimelineEvent[] = [];
  private nextIndex = 0;

  private readonly rateLimiter = LogRateLimiter.create(() => performance.now());
  private readonly output: BoundedOutput;
  private readonly logger: bunyan;

  private constructor(
    private readonly process: string,
    private readonly clock: HybridClock,
    level: bunyan.LogLevel,
    writeOut: WriteBytes,
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
    writeOut: WriteBytes = writeStandardOutput,
  ): EventLog {
    return new EventLog(process, clock, level, writeOut);
  }

  /**
   * Flushes the output before the process ends; gives up on a stalled reader.
   */
  async close(): Promise<void> {
    await this.output.close();
  }

  readonly emit: Emit = (number, fields = {}) => {
    const entry: EventEntry = eventTable[number];
    const clock = this.clock.read();
    const { name, level } = entry;
    this.storeRecent({
      process: this.process,
      clock,
      number,
      name,
      level,
      fields,
    });
    for (const [event, lines] of this.rateLimiter.startPeriodIfDue()) {
      this.writeLine(106, clock, { event, lines, reason: "budget" });
    }
    if (this.rateLimiter.tryAcquire(number, level))
      this.writeLine(number, clock, fields);
  };

  private writeLine(
    number: EventNumber,
    clock: ClockReading,
    fields: EventFields,
  ): void {
    const { name, level } = eventTable[number];
    this.logger[level]({ event: number, clock, ...fields }, name);
  }

  /** Recent events that match the filter, ordered by clock reading. */
  select(filter: EventFilter): TimelineEvent[] {
    const { value, sinceMs = 0 } = filter;
    return this.recentEvents
      .filter(({ clock }) => clock.physicalMs >= sinceMs)
      .filter(
        ({ fields }) =>
          value === undefined || Object.values(fields).includes(value),
      )
      .sort((a, b) => compareReadings(a.clock, b.clock));
  }

  private storeRecent(event: TimelineEvent): void {
    this.recentEvents[this.nextIndex] = event;
    this.nextIndex = (this.nextIndex + 1) % MAXIMUM_RECENT_EVENTS;
  }
}
