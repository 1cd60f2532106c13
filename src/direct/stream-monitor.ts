/** Watches the events of one stream, and ends attempts that stall or are slow. */
import type { ServerResponse } from "node:http";
import type { Attempt } from "./attempt.js";
import type { CrashTracker } from "./crash-tracker.js";
import { EventRelay } from "./event-relay.js";
import type { ForwarderOptions } from "./forwarder-options.js";
import { isRepeatable } from "./next-step.js";
import type { AdmittedRequest } from "./request-scheduler.js";
import { STALL_CHECK_INTERVAL_MS, isStalled } from "./stall.js";
import { StreamTimeliness } from "./stream-timeliness.js";
import type { AttemptEnd, DirectCall } from "./types.js";

export interface StreamMonitorInput {
  readonly options: ForwarderOptions;
  readonly call: DirectCall;
  readonly response: ServerResponse;
  readonly crashTracker: CrashTracker;
  /** Waiting time of the request before its first attempt, ms. */
  readonly waitedMs: () => number;
  /** Whether the stream should leave its runner for a faster one. */
  readonly shouldMove: (admitted: AdmittedRequest) => boolean;
  /**
   * Whether another runner can continue the stream in place of one that sends
   * nothing; takes the retry for it.
   */
  readonly tryReplace: (admitted: AdmittedRequest) => boolean;
}

export class StreamMonitor {
  readonly relay: EventRelay;
  readonly timeliness: StreamTimeliness;
  /** Admission under which the current attempt runs. */
  private currentAdmission: AdmittedRequest | undefined;
  private isFirstEvent = true;

  private constructor(private readonly input: StreamMonitorInput) {
    const { call, response } = input;
    this.timeliness = StreamTimeliness.create(call.route);
    this.relay = EventRelay.create({
      response,
      lastEventId: call.fields.lastEventId,
      isRepeatable: isRepeatable(call),
      onEvent: (pauseMs) => {
        this.onEvent(pauseMs);
      },
    });
  }

  static create(input: StreamMonitorInput): StreamMonitor {
    return new StreamMonitor(input);
  }

  /**
   * Runs the attempt and gives it up if its stream can be continued by another
   * runner and stalls, or should move away from a slow runner.
   */
  async run(attempt: Attempt, admitted: AdmittedRequest): Promise<AttemptEnd> {
    const { options, shouldMove, tryReplace } = this.input;
    this.currentAdmission = admitted;
    const startedAtMs = performance.now();
    let hasStalled = false;
    const timer = setInterval(() => {
      if (this.isStalledSince(startedAtMs)) {
        if (!hasStalled) options.scheduler.onConnectionSilent(admitted);
        hasStalled = true;
        if (tryReplace(admitted)) attempt.giveUp("stalled");
      } else if (shouldMove(admitted)) {
        attempt.giveUp("slow");
      }
    }, STALL_CHECK_INTERVAL_MS);
    try {
      return await attempt.run();
    } finally {
      clearInterval(timer);
    }
  }

  private isStalledSince(startedAtMs: number): boolean {
    const { call, options } = this.input;
    const lastEventAtMs = Math.max(this.relay.lastEventAtMs, startedAtMs);
    const serviceLastEventAtMs = options.scheduler.lastEventAtMs(call.service);
    return isStalled(performance.now(), lastEventAtMs, serviceLastEventAtMs);
  }

  private onEvent(pauseMs: number): void {
    const { call, crashTracker, options, waitedMs } = this.input;
    crashTracker.onStreamEvent();
    const { measurements, scheduler } = options;
    const { currentAdmission } = this;
    if (currentAdmission === undefined) return;
    const ageMs = performance.now() - call.arrivedAtMs;
    if (this.isFirstEvent) {
      // The delay of the first event is no pause between two events.
      this.isFirstEvent = false;
      scheduler.onAccepted(currentAdmission);
      scheduler.onResponseStarted(currentAdmission, ageMs - waitedMs());
      measurements.observe("firstEventDelay", ageMs / 1000);
      this.timeliness.onFirstEvent(ageMs);
      return;
    }
    measurements.observe("eventPause", pauseMs / 1000);
    this.timeliness.onPause(pauseMs);
    scheduler.onPause(currentAdmission, pauseMs, call.route.pauseObjectiveMs);
  }
}
