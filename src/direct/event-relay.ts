/**
 * Forwards an event stream to its caller, each event exactly once, across one
 * or more attempts. The head is sent together with the first event, so until
 * then a failure can still be reported by its status. If another runner
 * continues the stream, the head of the first one stays.
 *
 * The stream is sent in chunks. A caller that doesn't understand them gets it in
 * one piece when it is complete.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { canBeChunked } from "../daemon/entry/answer-framing.js";
import type { FlowControl, StreamSink } from "./attempt.js";
import { endToEndResponseHeaders } from "./end-to-end-headers.js";
import { EventSplitter } from "./event-splitter.js";
import { EventBounds } from "./response-bounds.js";
import type { EndMark } from "./types.js";

export interface EventRelayOptions {
  readonly response: ServerResponse;
  /** Id of the last event that the caller has received before this request. */
  readonly lastEventId: number;
  /** Whether another runner may continue the stream. */
  readonly isRepeatable: boolean;
  /**
   * Called for each forwarded event with the time since the previous one, ms.
   */
  readonly onEvent: (pauseMs: number) => void;
}

interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly endMark: EndMark;
}

export class EventRelay {
  private lastForwardedId: number;
  private previousEventAtMs = performance.now();
  private head: ResponseHead | undefined;
  /** Whether an event was forwarded, so that the head no longer changes. */
  private hasForwarded = false;
  /** Events that are held back until the stream is complete. */
  private readonly heldEvents: Buffer[] = [];
  private heldBytes = 0;

  private constructor(private readonly options: EventRelayOptions) {
    this.lastForwardedId = options.lastEventId;
  }

  static create(options: EventRelayOptions): EventRelay {
    return new EventRelay(options);
  }

  get lastEventId(): number {
    return this.lastForwardedId;
  }

  /** Whether the head and at least one event have been sent to the caller. */
  get hasStarted(): boolean {
    return this.options.response.headersSent;
  }

  /** Monotonic time of the last event, or of the start if there is none, ms. */
  get lastEventAtMs(): number {
    return this.previousEventAtMs;
  }

  /** Creates the sink for the response of one attempt. */
  sink(): StreamSink {
    const splitter = EventSplitter.create();
    const bounds = EventBounds.create(this.options.isRepeatable);
    let endMark: EndMark = "connection";
    return {
      unsentBytes: () => splitter.partialBytes + this.heldBytes,
      onHead: (status, headers, mark) => {
        endMark = mark;
        if (!this.hasForwarded) this.head = { status, headers, endMark };
      },
      onData: (chunk, flow) => {
        const events = splitter.push(chunk);
        for (const { bytes, id } of events) {
          if (id !== undefined && id !== this.lastForwardedId + 1) {
            return `event ${id} after ${this.lastForwardedId}`;
          }
          if (id !== undefined) this.lastForwardedId = id;
          this.forwardEvent(bytes, flow);
        }
        const { partialBytes } = splitter;
        return bounds.check(partialBytes, events.length > 0, performance.now());
      },
      onEnd: () => {
        if (splitter.hasPartialEvent) return "ended inside an event";
        this.finish(endMark);
        return undefined;
      },
    };
  }

  private forwardEvent(bytes: Buffer, flow: FlowControl): void {
    this.hasForwarded = true;
    const nowMs = performance.now();
    this.options.onEvent(nowMs - this.previousEventAtMs);
    this.previousEventAtMs = nowMs;
    if (canBeChunked(this.options.response)) this.sendEvent(bytes, flow);
    else this.holdEvent(bytes);
  }

  private sendEvent(bytes: Buffer, flow: FlowControl): void {
    const { response } = this.options;
    this.sendHead();
    if (response.write(bytes)) return;
    // Until the caller reads on, the attempt buffers the stream up to its
    // limit.
    flow.pause();
    response.once("drain", () => {
      flow.resume();
    });
  }

  private holdEvent(bytes: Buffer): void {
    this.heldEvents.push(bytes);
    this.heldBytes += bytes.length;
  }

  /**
   * Ends the response. If the runner whose head was sent announced a framed end
   * and the last attempt's end isn't framed, the final chunk must not claim that
   * the stream is complete: the connection is closed instead. The caller has
   * received every event and resumes if it misses some.
   */
  private finish(endMark: EndMark): void {
    const { response } = this.options;
    if (!canBeChunked(response)) {
      response.setHeader("content-length", this.heldBytes);
      this.sendHead();
      response.end(Buffer.concat(this.heldEvents));
      return;
    }
    this.sendHead();
    const wasEndAnnounced = this.head?.endMark !== "connection";
    if (wasEndAnnounced && endMark === "connection") response.destroy();
    else response.end();
  }

  private sendHead(): void {
    const { response } = this.options;
    if (response.headersSent || this.head === undefined) return;
    const { status, headers } = this.head;
    response.writeHead(status, endToEndResponseHeaders(headers));
  }
}
