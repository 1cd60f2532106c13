/**
 * One attempt to run a request at one runner, on a connection that carries no
 * other request meanwhile. An attempt ends exactly once. A response without
 * this attempt's id closes the connection, so a caller never receives the bytes
 * of another request.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { createDeferred } from "../internal.js";
import type { RunnerStatement } from "../membership/runner-statement.js";
import { endMarkOf } from "../shared/answer-end.js";
import { HTTP_MISDIRECTED_REQUEST } from "./attempt-ends.js";
import type { HeldBytes } from "../intake/memory-budget.js";
import { MAXIMUM_REFUSAL_MS, refusalFault } from "./response-bounds.js";
import { StreamBuffer } from "./stream-buffer.js";
import type { RunnerConnections } from "./runner-connections.js";
import type {
  AttemptEnd,
  EndMark,
  GiveUpReason,
  HeaderCodec,
  ResponseFields,
} from "./types.js";

/**
 * Pauses and resumes the delivery of a stream while its caller reads slowly.
 */
export type FlowControl = Pick<StreamBuffer, "pause" | "resume">;

/** Receives the head, the bytes and the end of a streamed response. */
export interface StreamSink {
  /** Called when a response with a success status begins. */
  readonly onHead: (
    status: number,
    headers: IncomingHttpHeaders,
    endMark: EndMark,
  ) => void;
  /** Returns undefined, or the reason for which the attempt must be aborted. */
  readonly onData: (chunk: Buffer, flow: FlowControl) => string | undefined;
  /** Bytes that the sink holds back, such as those of an incomplete event. */
  readonly unsentBytes?: () => number;
  /** Returns undefined if the stream is complete, otherwise what is missing. */
  readonly onEnd: () => string | undefined;
}

export interface AttemptOptions {
  readonly connections: Pick<RunnerConnections, "dispatch">;
  readonly request: Dispatcher.DispatchOptions;
  readonly attemptId: string | undefined;
  readonly codec: HeaderCodec;
  /**
   * Set for streams, which are forwarded event by event; other responses are
   * buffered.
   */
  readonly sink: StreamSink | undefined;
  /**
   * Limit for a buffered response, and for the part of a stream that its caller
   * hasn't read yet, bytes.
   */
  readonly maximumBufferedBytes: number;
  /**
   * Asked when a connection is free for the request: false if the runner may
   * get no requests any more.
   */
  readonly maySend?: () => boolean;
  /** Counts the bytes that this process holds of the response. */
  readonly held?: HeldBytes;
  /**
   * Counts the request's body until the connection pool has let go of it: an
   * attempt that was given up while it waited for a connection stays there.
   */
  readonly retainRequest?: () => Disposable;
  /** The runner's response was broken off because of a bound. */
  readonly onBrokenOff?: (reason: string, receivedBytes: number) => void;
  /** Called with the head of an answer to this attempt. */
  readonly onAnswer: (status: number, fields: ResponseFields) => void;
  /**
   * Called with what the runner says of itself in the head of any response,
   * also of one that can't be used otherwise.
   */
  readonly onStatement?: (statement: RunnerStatement) => void;
}

const FIRST_NON_SUCCESS_STATUS = 300;
/** Error code of an address at which nothing listens. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";
/** Statuses that tell the caller that the request hasn't been executed. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

export class Attempt {
  private readonly completion = createDeferred<AttemptEnd>();
  private isEnded = false;
  private wasSent = false;
  private controller: Dispatcher.DispatchController | undefined;
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private endMark: EndMark = "connection";
  private isStream = false;
  private isNotRun = false;
  private asksForRest = false;
  private faultyRunner: string | undefined;
  private readonly streamBuffer: StreamBuffer;
  private readonly bodyChunks: Buffer[] = [];
  private receivedBytes = 0;
  private refusalTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: AttemptOptions) {
    this.streamBuffer = StreamBuffer.create({
      onData: (chunk) => {
        this.forwardChunk(chunk);
      },
      onEnd: () => {
        this.onEnd();
      },
    });
  }

  static create(options: AttemptOptions): Attempt {
    return new Attempt(options);
  }

  /**
   * Sends the request and resolves when the attempt has ended; never rejects.
   */
  async run(): Promise<AttemptEnd> {
    const { connections, request, retainRequest } = this.options;
    const retained = retainRequest?.();
    const release = (): void => {
      retained?.[Symbol.dispose]();
    };
    try {
      connections.dispatch(request, this.handler(release));
    } catch (error) {
      release();
      this.onError(
        error instanceof Error ? error : new Error("non-Error value thrown"),
      );
    }
    return this.completion.promise;
  }

  /**
   * Aborts the attempt by closing its connection; the runner sees the close.
   */
  giveUp(reason: GiveUpReason): void {
    this.end({ kind: "given-up", wasSent: this.wasSent, reason });
    this.controller?.abort(new Error(reason));
  }

  /** `onReleased` is called when the pool no longer holds the request. */
  private handler(onReleased: () => void): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.controller = controller;
        if (this.isEnded) controller.abort(new Error("given up"));
        else if (this.options.maySend?.() === false) this.withhold(controller);
        else this.wasSent = true;
      },
      onResponseStart: (controller, status, headers) => {
        if (status >= 200) this.onHead(controller, status, headers);
      },
      onResponseData: (controller, chunk) => {
        this.onData(controller, chunk);
      },
      onResponseEnd: () => {
        onReleased();
        this.streamBuffer.end();
      },
      onResponseError: (_controller, error) => {
        onReleased();
        this.onError(error);
      },
    };
  }

  private withhold(controller: Dispatcher.DispatchController): void {
    const reason = "the runner may get no requests any more";
    this.end({ kind: "unsent", reason, cause: "withheld" });
    controller.abort(new Error(reason));
  }

  private onHead(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    const { attemptId, codec, sink } = this.options;
    const fields = codec.readAnswer(status, headers);
    // Another runner answers at this address.
    if (status !== HTTP_MISDIRECTED_REQUEST) {
      this.options.onStatement?.(fields.statement);
    }
    const fault = this.protocolViolation(status, fields, headers, attemptId);
    if (fault !== undefined) {
      this.abortBroken(controller, fault);
      return;
    }
    this.options.onAnswer(status, fields);
    this.status = status;
    this.headers = headers;
    this.endMark = endMarkOf(status, headers);
    this.isNotRun = fields.isNotRun;
    this.asksForRest = (fields.statement.restMs ?? 0) > 0;
    this.faultyRunner = fields.faultyRunner;
    this.isStream = sink !== undefined && status < FIRST_NON_SUCCESS_STATUS;
    if (this.isStream) sink?.onHead(status, headers, this.endMark);
    if (!this.isNotRun) return;
    this.refusalTimer = setTimeout(() => {
      this.breakOffRefusal("refusal without end");
    }, MAXIMUM_REFUSAL_MS);
  }

  /** Returns why the response must not be forwarded, or undefined. */
  private protocolViolation(
    status: number,
    fields: ResponseFields,
    headers: IncomingHttpHeaders,
    attemptId: string | undefined,
  ): string | undefined {
    // A refusal may omit the attempt id. One with another id is a late response
    // to an earlier attempt.
    const hasNoAttemptId = fields.attemptId === undefined;
    if (
      fields.attemptId !== attemptId &&
      !(fields.isNotRun && hasNoAttemptId)
    ) {
      return "answer to another attempt";
    }
    if (fields.isNotRun) return undefined;
    if (headers["content-encoding"] !== undefined)
      return "response with a content encoding";
    const isSuccess = status < FIRST_NON_SUCCESS_STATUS;
    if (isSuccess && fields.signature === undefined)
      return "success response without a signature";
    // Forwarded, the status would claim that the request wasn't executed, which
    // the runner hasn't stated.
    if (NOT_EXECUTED_STATUSES.has(status))
      return "refusal status without the statement that the request wasn't run";
    return undefined;
  }

  private onData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.isEnded) return;
    const { maximumBufferedBytes } = this.options;
    this.receivedBytes += chunk.length;
    if (this.isNotRun) {
      const fault = refusalFault(this.receivedBytes);
      if (fault !== undefined) this.breakOffRefusal(fault);
      return;
    }
    if (this.isStream) {
      this.streamBuffer.push(chunk);
      const { bufferedBytes } = this.streamBuffer;
      if (bufferedBytes > maximumBufferedBytes) {
        this.breakOff(controller, "caller reads too slowly");
      }
      const unsentBytes = this.options.sink?.unsentBytes?.() ?? 0;
      if (unsentBytes > maximumBufferedBytes) {
        this.breakOff(controller, "answer too large");
      }
      this.hold(controller, bufferedBytes + unsentBytes);
      return;
    }
    this.bodyChunks.push(chunk);
    if (this.receivedBytes > maximumBufferedBytes)
      this.breakOff(controller, "answer too large");
    this.hold(controller, this.receivedBytes);
  }

  private hold(controller: Dispatcher.DispatchController, bytes: number): void {
    if (this.isEnded || this.options.held?.tryHold(bytes) !== false) return;
    this.breakOff(controller, "responses hold too much memory");
  }

  private forwardChunk(chunk: Buffer): void {
    if (this.isEnded) return;
    const fault = this.options.sink?.onData(chunk, this.streamBuffer);
    if (fault === undefined) return;
    this.options.onBrokenOff?.(fault, this.receivedBytes);
    this.end({ kind: "broken", reason: fault, isLost: false });
    this.controller?.abort(new Error(fault));
  }

  /** The head has told already that the request wasn't run. */
  private breakOffRefusal(reason: string): void {
    if (this.isEnded) return;
    this.options.onBrokenOff?.(reason, this.receivedBytes);
    this.onEnd();
    this.controller?.abort(new Error(reason));
  }

  private breakOff(
    controller: Dispatcher.DispatchController,
    reason: string,
  ): void {
    if (this.isEnded) return;
    this.options.onBrokenOff?.(reason, this.receivedBytes);
    this.abortBroken(controller, reason);
  }

  private onEnd(): void {
    if (this.isEnded) return;
    const { status, headers, endMark } = this;
    if (this.isStream) {
      const fault = this.options.sink?.onEnd();
      if (fault === undefined) this.end({ kind: "streamed", endMark });
      else this.endIncompleteStream(fault);
      return;
    }
    if (this.isNotRun) {
      const { faultyRunner, asksForRest } = this;
      this.end({ kind: "not-run", status, asksForRest, faultyRunner });
      return;
    }
    const body = Buffer.concat(this.bodyChunks);
    this.end({ kind: "answered", answer: { status, headers, body, endMark } });
  }

  /**
   * If only the connection's close marks the end of the response, an incomplete
   * stream means that the connection was lost.
   */
  private endIncompleteStream(reason: string): void {
    const isLost = this.endMark === "connection";
    this.end({ kind: "broken", reason, isLost });
  }

  private onError({ message: reason, code }: NodeJS.ErrnoException): void {
    if (this.wasSent) {
      this.end({ kind: "broken", reason, isLost: true });
      return;
    }
    const isRefused = code === CONNECTION_REFUSED_CODE;
    const cause = isRefused ? "refused" : "unconnected";
    this.end({ kind: "unsent", reason, cause });
  }

  private abortBroken(
    controller: Dispatcher.DispatchController,
    reason: string,
  ): void {
    this.end({ kind: "broken", reason, isLost: false });
    controller.abort(new Error(reason));
  }

  private end(end: AttemptEnd): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.refusalTimer);
    if (end.kind !== "answered") this.bodyChunks.length = 0;
    this.completion.resolve(end);
  }
}
