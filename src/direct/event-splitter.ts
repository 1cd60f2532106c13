/** Cuts a `text/event-stream` body into whole events without changing a byte. */

export interface StreamEvent {
  /** The event with the blank line that ends it. */
  readonly bytes: Buffer;
  /** Its id; undefined for comments and events without one. */
  readonly id: number | undefined;
}

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;

export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  private constructor() {
    // Made by create.
  }

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes of an event that has not ended yet. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** The events that are whole with this chunk. */
  push(chunk: Buffer): readonly StreamEvent[] {
    let data =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = endOfEvent(data);
      if (end < 0) break;
      const bytes = data.subarray(0, end);
      events.push({ bytes, id: idOf(bytes) });
      data = data.subarray(end);
    }
    this.rest = data;
    return events;
  }
}

/** Index after the first blank line, -1 when there is none yet. */
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
