/** The responses of an entry that haven't been sent completely. */
import type { ServerResponse } from "node:http";
import { finished } from "node:stream";
import { RESET_DELAY_MS, breakOff } from "../daemon/entry/answer-framing.js";
import { pause } from "../daemon/background-task.js";

export class OpenResponses {
  private readonly responses = new Set<ServerResponse>();

  private constructor() {
    // Use `create`.
  }

  static create(): OpenResponses {
    return new OpenResponses();
  }

  get size(): number {
    return this.responses.size;
  }

  /** Counts the response as open until it has been served and sent. */
  async during(
    response: ServerResponse,
    serve: () => Promise<void>,
  ): Promise<void> {
    this.responses.add(response);
    try {
      await serve();
    } finally {
      onceSent(response, () => this.responses.delete(response));
    }
  }

  /** Tells the callers not to reuse their connections. */
  announceClose(): void {
    for (const response of this.responses) announceClose(response);
  }

  /** Breaks open responses off before the process closes their connections. */
  async breakOff(): Promise<void> {
    if (this.responses.size === 0) return;
    for (const response of this.responses) breakOff(response);
    await pause(RESET_DELAY_MS, new AbortController().signal);
  }
}

/**
 * Calls `onSent` when the response has been sent or its connection is closed. A
 * response whose caller reads slowly is still being sent after its request has
 * finished. It counts as open, so that shutdown waits for it and breaks it off if
 * the process ends first.
 */
function onceSent(response: ServerResponse, onSent: () => void): void {
  const isSettled = response.writableFinished || response.closed;
  if (isSettled || !response.writableEnded) onSent();
  else finished(response, onSent);
}

/** Tells the caller not to reuse this connection. */
function announceClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}
