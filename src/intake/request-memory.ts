/**
 * Bounds what a process holds for the requests of all its callers, each from
 * its head until it is concluded and nothing holds its body any more.
 */
import type { ServerResponse } from "node:http";
import { MemoryBudget, type HeldBytes } from "./memory-budget.js";
import {
  reportMemoryLimit,
  type MemoryReportOptions,
} from "./memory-report.js";

/** What is held for one request. */
export interface HeldRequest extends Disposable {
  /**
   * Sets the length held of the body, next to the request's objects; false if
   * the request must be refused.
   */
  readonly tryHoldBody: (bytes: number) => boolean;
  /**
   * Counts the request, beyond its own disposal, until the result is disposed
   * of: something that can't be taken back holds its body.
   */
  readonly retain: () => Disposable;
}

export interface RequestMemoryOptions extends MemoryReportOptions {
  /** Memory of the process, bytes. */
  readonly memoryBytes: number;
  /** Share of it that requests may take. */
  readonly share: number;
  /** Copies of a body that the process makes, the first one included. */
  readonly copies: number;
}

/** Objects for a request and its response, bytes. */
const EXCHANGE_BYTES = 8192;

export class RequestMemory {
  private readonly budget: MemoryBudget;
  private readonly shareBytes: number;

  private constructor(private readonly options: RequestMemoryOptions) {
    const { memoryBytes, share, measurements } = options;
    this.shareBytes = memoryBytes * share;
    this.budget = MemoryBudget.create(this.shareBytes, (heldBytes) => {
      measurements.set("heldRequestBytes", heldBytes);
    });
  }

  static create(options: RequestMemoryOptions): RequestMemory {
    return new RequestMemory(options);
  }

  get heldBytes(): number {
    return this.budget.heldBytes;
  }

  /** A single body of the allowed size is always taken. */
  setLargestBody(bytes: number): void {
    const neededBytes = EXCHANGE_BYTES + this.options.copies * bytes;
    this.budget.capacityBytes = Math.max(this.shareBytes, neededBytes);
  }

  /** Counts what belongs to no request, such as heads that aren't complete. */
  openOther(): HeldBytes {
    return this.budget.open();
  }

  /** Counts the request until its response is closed, and its disposal. */
  openUntilClosed(response: ServerResponse): HeldRequest {
    const held = this.open();
    // A response, a refusal too, may wait for those before it.
    const heldForResponse = held.retain();
    response.once("close", () => {
      heldForResponse[Symbol.dispose]();
    });
    return held;
  }

  open(): HeldRequest {
    const held = this.budget.open();
    let users = 0;
    const retain = (): Disposable => {
      users += 1;
      let isReleased = false;
      return {
        [Symbol.dispose]: () => {
          if (isReleased) return;
          isReleased = true;
          users -= 1;
          if (users === 0) held[Symbol.dispose]();
        },
      };
    };
    const own = retain();
    return {
      retain,
      tryHoldBody: (bytes) => this.tryHoldBody(held, bytes),
      [Symbol.dispose]: () => {
        own[Symbol.dispose]();
      },
    };
  }

  private tryHoldBody(held: HeldBytes, bytes: number): boolean {
    const { copies } = this.options;
    if (held.tryHold(EXCHANGE_BYTES + copies * bytes)) return true;
    reportMemoryLimit(this.options, bytes, this.heldBytes);
    return false;
  }
}
