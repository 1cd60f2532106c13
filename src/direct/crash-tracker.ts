/**
 * Tracks whether a request crashes its runners: whether it is withheld as a
 * suspect, and which of its attempts were lost to a crash.
 */
import type { BackendServer } from "../membership/types.js";
import { digestOf, partDigestsOf } from "../suspects/request-digest.js";
import type { SuspectTracker } from "../suspects/suspect-tracker.js";
import type { AttemptEnd, DirectCall } from "./types.js";

/**
 * A request that crashes its runner does so when it starts to run. A request
 * whose events have come for longer than this is no suspect, ms.
 */
const STARTUP_CRASH_WINDOW_MS = 1000;

/** Number of events by which a stream must have passed that window. */
const MINIMUM_EVENTS = 5;

const FIRST_FAILURE_STATUS = 300;

export class CrashTracker {
  private cachedDigest: string | undefined;
  private cachedParts: readonly string[] | undefined;
  private sentAtMs = 0;
  private firstEventAtMs: number | undefined;
  private events = 0;
  private hasSurvived = false;

  private constructor(
    private readonly suspects: SuspectTracker,
    private readonly call: DirectCall,
  ) {}

  static create(suspects: SuspectTracker, call: DirectCall): CrashTracker {
    return new CrashTracker(suspects, call);
  }

  get isWithheld(): boolean {
    const { requests, parts } = this.suspects;
    if (requests.size > 0 && requests.isWithheld(this.digest)) return true;
    return parts.withheldParts.length > 0 && parts.isWithheld(this.parts);
  }

  /** An attempt has been sent. */
  onAttemptSent(): void {
    this.sentAtMs = this.suspects.now();
    this.firstEventAtMs = undefined;
    this.events = 0;
    this.hasSurvived = false;
  }

  /** An event of the attempt's response has arrived. */
  onStreamEvent(): void {
    this.firstEventAtMs ??= this.suspects.now();
    this.events += 1;
    // After a freeze of this process, events of the first moments come late.
    if (this.events < MINIMUM_EVENTS || !this.hasPassedStartup()) return;
    this.onSurvived();
  }

  /** Resolves when it is known whether the attempt was lost to a crash. */
  async onAttemptEnd(runner: BackendServer, end: AttemptEnd): Promise<void> {
    const { crashes } = this.suspects;
    if (end.kind === "not-run" && end.faultyRunner !== undefined) {
      crashes.onCrashed(end.faultyRunner);
    }
    if (end.kind === "streamed" || end.kind === "answered") this.acquit();
    if (isSuccess(end)) this.onSurvived();
    const isLost = end.kind === "broken" && end.isLost;
    if (!isLost || this.hasPassedStartup()) return;
    const { digest, sharedParts: parts, sentAtMs } = this;
    await crashes.onLost(runner, { digest, parts, sentAtMs });
  }

  private acquit(): void {
    const { requests } = this.suspects;
    if (requests.acquit(this.digest)) {
      this.suspects.onAcquitted(this.call.id);
    }
  }

  /** No part of the prompt has crashed the runner. */
  private onSurvived(): void {
    if (this.hasSurvived) return;
    this.hasSurvived = true;
    this.suspects.onSurvived([...this.parts, this.digest]);
  }

  private hasPassedStartup(): boolean {
    if (this.firstEventAtMs === undefined) return false;
    return this.suspects.now() - this.firstEventAtMs > STARTUP_CRASH_WINDOW_MS;
  }

  /** Digests of the parts that other requests may share. */
  private get sharedParts(): readonly string[] {
    return this.parts.slice(0, -1);
  }

  private get parts(): readonly string[] {
    const { model, promptParts } = this.call.fields;
    this.cachedParts ??= partDigestsOf(model, promptParts);
    return this.cachedParts;
  }

  private get digest(): string {
    this.cachedDigest ??= digestOf(this.call);
    return this.cachedDigest;
  }
}

/**
 * A stream that only its connection delimits may have been broken off between
 * two events, which looks like its end.
 */
function isSuccess(end: AttemptEnd): boolean {
  if (end.kind === "streamed") return end.endMark !== "connection";
  return end.kind === "answered" && end.answer.status < FIRST_FAILURE_STATUS;
}
