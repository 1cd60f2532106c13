/** Sends the attempts of requests: new ones, and those that resume a run. */
import type { EntryLink } from "./entry-link.js";
import { release, type RequestState } from "./entry-request.js";
import type { EntryRequests } from "./entry-requests.js";
import type { EntrySessionsOptions } from "./entry-types.js";
import type { SessionLimits } from "./limits.js";

type Tools = Pick<EntrySessionsOptions, "createAttemptId" | "emit">;

const NO_BYTES = new Uint8Array(0);

export class EntryAttempts {
  private constructor(
    private readonly options: Tools,
    private readonly requests: EntryRequests,
    private readonly limits: SessionLimits,
  ) {}

  static create(
    options: Tools,
    requests: EntryRequests,
    limits: SessionLimits,
  ): EntryAttempts {
    return new EntryAttempts(options, requests, limits);
  }

  send(
    request: RequestState,
    link: EntryLink,
    attempt: string,
    now: number,
  ): void {
    const isFresh = request.run === attempt;
    const call = isFresh ? request.call : { ...request.call, body: NO_BYTES };
    request.phase = "dispatched";
    request.giveUpAt = Number.POSITIVE_INFINITY;
    this.requests.nameAttempt(request, attempt);
    const sequence = link.hold(request);
    link.send({
      kind: "dispatch",
      sequence,
      attempt,
      call,
      deadlineMs: Math.max(1, request.deadlineAt - now),
      fromIndex: request.nextIndex,
      resumeOf: isFresh ? "" : request.run,
    });
  }

  /** Waits for a session to the same runner, and resumes the run on it. */
  awaitResume(link: EntryLink, request: RequestState, now: number): void {
    release(request);
    request.phase = "resuming";
    request.giveUpAt = now + this.limits.resumeMs;
    link.resuming.add(request);
    if (link.isLive) this.resume(request, now);
  }

  /** Goes on with the run of the request under a new attempt. */
  resume(request: RequestState, now: number): void {
    const { link } = request;
    if (link === undefined) return;
    release(request);
    link.resuming.delete(request);
    request.resumes += 1;
    if (request.resumes > this.limits.resumes) {
      this.requests.abandon(request, 1217, "broken", now);
      return;
    }
    const attempt = this.options.createAttemptId();
    this.send(request, link, attempt, now);
    const { runner } = link;
    const { request: id } = request.call;
    const fromIndex = request.nextIndex;
    this.options.emit(126, { request: id, attempt, runner, fromIndex });
  }
}
