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

  private constructor(
    private readonly process: string,
    private readonly clock: HybridClock,
    private readonly logger: bunyan,
  ) {}

  static create(
    process: string,
    clock: HybridClock,
    level: bunyan.LogLevel,
  ): EventLog {
    const logger = bunyan.createLogger({ name: process, level });
    return new EventLog(process, clock, logger);
  }

  readonly emit: Emit = (number, fields = {}) => {
    const entry: EventEntry = eventTable[number];
    const clock = this.clock.read();
    const { name, level } = entry;
    this.keep({ process: this.process, clock, number, name, level, fields });
    this.logger[level]({ event: number, clock, ...fields }, name);
  };

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
