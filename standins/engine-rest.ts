/** Refusals with which a simulated engine asks its agent for rest. */
import type { ServerResponse } from "node:http";
import { sendJson } from "./http.js";

/** Time after a refusal from which further requests count, ms. */
const NOTICE_MS = 500;
const HTTP_UNAVAILABLE = 503;

export class EngineRest {
  /** Rest that the engine asks for with each refusal, s; 0 to refuse nothing. */
  seconds = 0;
  /** Requests that came during a rest, since `seconds` was set last. */
  disturbances = 0;
  private askedAtMs = Number.NEGATIVE_INFINITY;

  private constructor() {
    // Instances are created by `create`.
  }

  static create(): EngineRest {
    return new EngineRest();
  }

  begin(seconds: number): void {
    this.seconds = seconds;
    this.disturbances = 0;
    this.askedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Returns whether the request was refused. */
  tryRefuse(response: ServerResponse): boolean {
    if (this.seconds === 0) return false;
    const sinceMs = performance.now() - this.askedAtMs;
    const restMs = this.seconds * 1000;
    if (sinceMs >= restMs) this.askedAtMs = performance.now();
    else if (sinceMs > NOTICE_MS) this.disturbances += 1;
    response.setHeader("retry-after", String(this.seconds));
    sendJson(response, { error: "busy" }, HTTP_UNAVAILABLE);
    return true;
  }
}
