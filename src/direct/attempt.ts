/**
 * One attempt at one runner, over a connection that carries nothing else
 * meanwhile. It ends exactly once, and never with another request's bytes: an
 * answer without this attempt's id closes the connection.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { createDeferred } from "../internal.js";
import { endMarkOf } from "../shared/answer-end.js";
import { HeldStream } from "./held-stream.js";
import type { RunnerConnections } from "./runner-connections.js";
import type {
  AttemptEnd,
  EndMark,
  GiveUpReason,
  HeaderCodec,
} from "./types.js";

/** Lets a stream's bytes and its end wait for a caller that reads late. */
export type Flow = Pick<HeldStream, "pause" | "resume">;

/** Takes a stream's bytes. */
export interface StreamSink {
  /** A success has begun. */
  readonly onHead: (
    status: number,
    headers: IncomingHttpHeaders,
    endMark: EndMark,
  ) => void;
  /** Undefined when all is well, else why the attempt has to end. */
  readonly onData: (chunk: Buffer, flow: Flow) => string | undefined;
  /** Undefined when the stream is whole. */
  readonly onEnd: () => string | undefined;
}

export interface AttemptOptions {
  readonly connections: Pick<RunnerConnections, "dispatch">;
  readonly request: Dispatcher.DispatchOptions;
  readonly attemptId: string | undefined;
  readonly codec: HeaderCodec;
  /** Present for streams, which pass on event by event. */
  readonly sink: StreamSink | undefined;
  /** Largest answer that is held until it is whole, bytes. */
  readonly maximumBytes: number;
}

const FIRST_FAILURE = 300;
/** Statuses that promise that a request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class Attempt {
  private readonly ended = createDeferred<AttemptEnd>();
  private isEnded = false;
  private wasSent = false;
  private controller: Dispatcher.DispatchController | undefined;
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private endMark: EndMark = "connection";
  private isStream = false;
  private isNotRun = false;
  private faultyRunner: string | undefined;
  private readonly held: HeldStream;
  private readonly parts: Buffer[] = [];
  private size = 0;

  private constructor(private readonly options: AttemptOptions) {
    this.held = HeldStream.create({
      onData: (chunk) => {
        this.passOn(chunk);
      },
      onEnd: () => {
        this.onEnd();
      },
    });
  }

  static create(options: AttemptOptions): Attempt {
    return new Attempt(options);
  }

  /** Sends the request and waits for the end; never throws. */
  async run(): Promise<AttemptEnd> {
    const { connections, request } = this.options;
    try {
      connections.dispatch(request, this.handler());
    } catch (error) {
      this.onError(error instanceof Error ? error.message : "not an error");
    }
    return this.ended.promise;
  }

  /** Closes the connection, by which the runner learns of it. */
  giveUp(reason: GiveUpReason): void {
    this.end({ kind: "given-up", wasSent: this.wasSent, reason });
    this.controller?.abort(new Error(reason));
  }

  private handler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.controller = controller;
        if (this.isEnded) controller.abort(new Error("given up"));
        else this.wasSent = true;
      },
      onResponseStart: (controller, status, headers) => {
        if (status >= 200) this.onHead(controller, status, headers);
      },
      onResponseData: (controller, chunk) => {
        this.onData(controller, chunk);
      },
      onResponseEnd: () => {
        this.held.end();
      },
      onResponseError: (_controller, error) => {
        this.onError(error.message);
      },
    };
  }

  private onHead(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    const { attemptId, codec, sink } = this.options;
    const fields = codec.readAnswer(status, headers);
    const fault = this.faultOf(status, fields, headers, attemptId);
    if (fault !== undefined) {
      this.break(controller, fault);
      return;
    }
    this.status = status;
    this.headers = headers;
    this.endMark = endMarkOf(status, headers);
    this.isNotRun = fields.isNotRun;
    this.faultyRunner = fields.faultyRunner;
    this.isStream = sink !== undefined && status < FIRST_FAILURE;
    if (this.isStream) sink?.onHead(status, headers, this.endMark);
  }

  /** What makes the answer unfit to pass on. */
  private faultOf(
    status: number,
    fields: ReturnType<HeaderCodec["readAnswer"]>,
    headers: IncomingHttpHeaders,
    attemptId: string | undefined,
  ): string | undefined {
    // A refusal may name no attempt; one that names another is a late one.
    const isUnnamed = fields.attemptId === undefined;
    if (fields.attemptId !== attemptId && !(fields.isNotRun && isUnnamed)) {
      return "answer to another attempt";
    }
    if (fields.isNotRun) return undefined;
    if (headers["content-encoding"] !== undefined) return "encoded body";
    const isSuccess = status < FIRST_FAILURE;
    if (isSuccess && fields.signature === undefined) return "unsigned success";
    // Passed on, the status would promise what the runner didn't say.
    if (PROMISES.has(status)) return "promise without proof";
    return undefined;
  }

  private onData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.isEnded) return;
    const { maximumBytes } = this.options;
    if (this.isStream) {
      this.held.push(chunk);
      if (this.held.bytes > maximumBytes) {
        this.break(controller, "caller reads too late");
      }
      return;
    }
    this.parts.push(chunk);
    this.size += chunk.length;
    if (this.size > maximumBytes) this.break(controller, "answer too large");
  }

  private passOn(chunk: Buffer): void {
    if (this.isEnded) return;
    const fault = this.options.sink?.onData(chunk, this.held);
    if (fault === undefined) return;
    this.end({ kind: "broken", reason: fault, isLost: false });
    this.controller?.abort(new Error(fault));
  }

  private onEnd(): void {
    if (this.isEnded) return;
    const { status, headers, endMark } = this;
    if (this.isStream) {
      const fault = this.options.sink?.onEnd();
      if (fault === undefined) this.end({ kind: "streamed", endMark });
      else this.endBroken(fault);
      return;
    }
    if (this.isNotRun) {
      const { faultyRunner } = this;
      this.end({ kind: "not-run", status, faultyRunner });
      return;
    }
    const body = Buffer.concat(this.parts);
    this.end({ kind: "answered", answer: { status, headers, body, endMark } });
  }

  /** Where only its connection ends an answer, that has gone too soon. */
  private endBroken(reason: string): void {
    const isLost = this.endMark === "connection";
    this.end({ kind: "broken", reason, isLost });
  }

  private onError(reason: string): void {
    if (this.wasSent) this.end({ kind: "broken", reason, isLost: true });
    else this.end({ kind: "unsent", reason });
  }

  private break(
    controller: Dispatcher.DispatchController,
    reason: string,
  ): void {
    this.end({ kind: "broken", reason, isLost: false });
    controller.abort(new Error(reason));
  }

  private end(end: AttemptEnd): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.ended.resolve(end);
  }
}
