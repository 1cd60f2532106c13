/**
 * Passes a stream on to its caller, event by event and each exactly once, over
 * one or more attempts. The head goes out with the first event, so that until
 * then a failure can still be told by its status; it stays that of the first
 * runner when another one goes on.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { endWithConnection } from "../daemon/entry/answer-framing.js";
import type { Flow, StreamSink } from "./attempt.js";
import { answerHeaders } from "./end-to-end-headers.js";
import { EventSplitter } from "./event-splitter.js";

export interface EventRelayOptions {
  readonly response: ServerResponse;
  /** Last event that the caller has already. */
  readonly lastEventId: number;
  /** Called for every event passed on; the pause since the last one, ms. */
  readonly onEvent: (pauseMs: number) => void;
}

interface Head {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

export class EventRelay {
  private lastId: number;
  private lastAtMs = performance.now();
  private head: Head | undefined;
  /** The attempt's own end says nothing; only its connection's does. */
  private isUnmarked = false;

  private constructor(private readonly options: EventRelayOptions) {
    this.lastId = options.lastEventId;
  }

  static create(options: EventRelayOptions): EventRelay {
    return new EventRelay(options);
  }

  get lastEventId(): number {
    return this.lastId;
  }

  /** Whether the caller has seen the head and an event. */
  get hasStarted(): boolean {
    return this.options.response.headersSent;
  }

  /** Monotonic time of the last event, or of the start, ms. */
  get lastEventAtMs(): number {
    return this.lastAtMs;
  }

  /** Takes the bytes of one attempt. */
  sink(): StreamSink {
    const splitter = EventSplitter.create();
    return {
      onHead: (status, headers, endMark) => {
        this.isUnmarked = endMark === "connection";
        if (!this.hasStarted) this.head = { status, headers };
      },
      onData: (chunk, flow) => {
        for (const { bytes, id } of splitter.push(chunk)) {
          if (id !== undefined && id !== this.lastId + 1) {
            return `event ${id} after ${this.lastId}`;
          }
          if (id !== undefined) this.lastId = id;
          this.pass(bytes, flow);
        }
        return undefined;
      },
      onEnd: () => {
        if (splitter.hasRest) return "ended inside an event";
        this.sendHead();
        this.finish();
        return undefined;
      },
    };
  }

  private pass(bytes: Buffer, flow: Flow): void {
    const { response, onEvent } = this.options;
    this.sendHead();
    const nowMs = performance.now();
    onEvent(nowMs - this.lastAtMs);
    this.lastAtMs = nowMs;
    if (response.write(bytes)) return;
    // What a caller hasn't read yet is held up to the attempt's limit.
    flow.pause();
    response.once("drain", () => {
      flow.resume();
    });
  }

  /**
   * Chunks were promised by an earlier attempt, and this one doesn't vouch for
   * an end: the caller has every event, and resumes if it misses some.
   */
  private finish(): void {
    const { response } = this.options;
    if (this.isUnmarked && response.chunkedEncoding) response.destroy();
    else response.end();
  }

  private sendHead(): void {
    const { response } = this.options;
    if (response.headersSent || this.head === undefined) return;
    const { status, headers } = this.head;
    if (this.isUnmarked) endWithConnection(response);
    response.writeHead(status, answerHeaders(headers));
  }
}
