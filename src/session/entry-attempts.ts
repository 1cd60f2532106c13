/** Dispatches attempts: new work, and resumptions of a run. */
import type { EntryLink } from "./entry-link.js";
import { releaseAttempt, type RequestState } from "./request-state.js";
import type { EntryRequests } from "./entry-requests.js";
import type { EntrySessionsOptions } from "./entry-types.js";
import type { SessionLimits } from "./limits.js";
import { withoutBody } from "./without-body.js";

type AttemptDependencies = Pick<
  EntrySessionsOptions,
  "createAttemptId" | "emit"
>;

export class EntryAttempts {
  private constructor(
    private readonly dependencies: AttemptDependencies,
    private readonly requests: EntryRequests,
    private readonly limits: SessionLimits,
  ) {}

  static create(
    dependencies: AttemptDependencies,
    requests: EntryRequests,
    limits: SessionLimits,
  ): EntryAttempts {
    return new EntryAttempts(dependencies, requests, limits);
  }

  send(
    request: RequestState,
    link: EntryLink,
    attempt: string,
    now: number,
  ): void {
    const isNewWork = request.run === attempt;
    const call = isNewWork ? request.call : withoutBody(request.call);
    request.phase = "dispatched";
    request.giveUpAt = Number.POSITIVE_INFINITY;
    this.requests.setAttempt(request, attempt);
    const sequence = link.registerDispatch(request);
    link.send({
      kind: "dispatch",
      sequence,
      attempt,
      call,
      deadlineMs: Math.max(1, request.deadlineAt - now),
      fromIndex: request.nextPieceIndex,
      resumeOf: isNewWork ? "" : request.run,
    });
  }

  /** Resumes the run on the next live session to the same runner. */
  awaitResume(link: EntryLink, request: RequestState, now: number): void {
    releaseAttempt(request);
    request.phase = "resuming";
    request.giveUpAt = now + this.limits.resumeTimeoutMs;
    link.requestsToResume.add(request);
    if (link.isLive) this.resume(request, now);
  }

  /** Resumes the run of the request under a new attempt. */
  resume(request: RequestState, now: number): void {
    const { link } = request;
    if (link === undefined) return;
    releaseAttempt(request);
    link.requestsToResume.delete(request);
    request.resumeCount += 1;
    if (request.resumeCount > this.limits.maximumResumptions) {
      this.requests.abandonRun(request, 1217, "broken", now);
      return;
    }
    const attempt = this.dependencies.createAttemptId();
    this.send(request, link, attempt, now);
    const { runner } = link;
    const { request: id } = request.call;
    const fromIndex = request.nextPieceIndex;
    this.dependencies.emit(126, { request: id, attempt, runner, fromIndex });
  }
}
