/**
 * Splits a `text/event-stream` body into complete events without changing a
 * byte.
 */

export interface StreamEvent {
  /** The event including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Undefined for comments and events without an id. */
  readonly id: number | undefined;
}

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;

export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  private constructor() {
    // Instances are created by `create`.
  }

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Buffered bytes of an incomplete event. */
  get partialBytes(): number {
    return this.partialEvent.length;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Returns the events that this chunk completes. */
  push(chunk: Buffer): readonly StreamEvent[] {
    let data =
      this.partialEvent.length === 0
        ? chunk
        : Buffer.concat([this.partialEvent, chunk]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = endOfEvent(data);
      if (end < 0) break;
      const bytes = data.subarray(0, end);
      events.push({ bytes, id: idOf(bytes) });
      data = data.subarray(end);
    }
    this.partialEvent = data;
    return events;
  }
}

/** Index after the first blank line, or -1 if there is none. */
function endOfEvent(data: Buffer): number {
  let lineStart = 0;
  for (;;) {
    const newline = data.indexOf(NEWLINE, lineStart);
    if (newline < 0) return -1;
    const length = newline - lineStart;
    const isBlank =
      length === 0 || (length === 1 && data[lineStart] === CARRIAGE_RETURN);
    if (isBlank) return newline + 1;
    lineStart = newline + 1;
  }
}

function idOf(bytes: Buffer): number | undefined {
  const match = ID_LINE.exec(bytes.toString("latin1"));
  return match === null ? undefined : Number(match[1]);
}
