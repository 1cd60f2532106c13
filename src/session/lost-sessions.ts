/**
 * Resolves the attempts of lost sessions. The agent is asked to close the
 * session until it confirms the close or the wait times out.
 */
import type { EntryAttempts } from "./entry-attempts.js";
import type { EntryLink, LostSession } from "./entry-link.js";
import type { EntryRequests } from "./entry-requests.js";
import type { EntrySessionsOptions } from "./entry-types.js";
import type { SessionLimits } from "./limits.js";
import type { CloseReply } from "./types.js";

type LostSessionsDependencies = Pick<
  EntrySessionsOptions,
  "perform" | "emit" | "without"
>;

export class LostSessions {
  private constructor(
    private readonly dependencies: LostSessionsDependencies,
    private readonly requests: EntryRequests,
    private readonly attempts: EntryAttempts,
    private readonly limits: SessionLimits,
  ) {}

  static create(
    dependencies: LostSessionsDependencies,
    requests: EntryRequests,
    attempts: EntryAttempts,
    limits: SessionLimits,
  ): LostSessions {
    return new LostSessions(dependencies, requests, attempts, limits);
  }

  /** Handles the agent's reply to the close of a session. */
  closeAnswered(
    link: EntryLink,
    number: number,
    reply: CloseReply,
    now: number,
  ): void {
    const lost = link.lostSessions.get(number);
    if (lost === undefined) return;
    link.lostSessions.delete(number);
    const { agentIncarnation } = lost.session;
    const isSameIncarnation = reply.agentIncarnation === agentIncarnation;
    if (
      reply.closed &&
      (isSameIncarnation || this.dependencies.without === "agent-incarnation")
    ) {
      this.resolveClosed(link, lost, reply, now);
      return;
    }
    // A restarted agent doesn't know the session: only the engine can tell
    // what its predecessor started. An agent of the same incarnation that no
    // longer knows the session can prove nothing.
    for (const request of lost.attempts.values()) {
      if (isSameIncarnation)
        this.requests.abandonRun(request, 1211, "lost", now);
      else this.attempts.awaitResume(link, request, now);
    }
  }

  /** The close got no reply; it is retried until the timeout. */
  closeFailed(link: EntryLink, number: number, now: number): void {
    const lost = link.lostSessions.get(number);
    if (lost !== undefined) lost.nextCloseAt = now + this.limits.closeRetryMs;
  }

  /** Retries pending closes and ends those that have timed out. */
  tick(link: EntryLink, now: number): void {
    for (const lost of link.lostSessions.values()) {
      if (now >= lost.giveUpAt) this.resolveUnconfirmed(link, lost, now);
      else if (now >= lost.nextCloseAt) this.sendClose(link, lost);
    }
  }

  loseSession(link: EntryLink, reason: string, now: number): void {
    const lost = link.disconnect(reason, now);
    if (lost === undefined) return;
    for (const request of lost.attempts.values()) request.phase = "doubt";
    this.sendClose(link, lost);
  }

  private sendClose(link: EntryLink, lost: LostSession): void {
    lost.nextCloseAt = Number.POSITIVE_INFINITY;
    const { runner } = link;
    const { session } = lost;
    this.dependencies.perform({ kind: "close-session", runner, session });
  }

  /**
   * The agent has closed the session: the attempts that it lists have started
   * and are resumed from the next piece; all others can never start.
   */
  private resolveClosed(
    link: EntryLink,
    lost: LostSession,
    reply: CloseReply,
    now: number,
  ): void {
    const { runner } = link;
    const session = lost.session.number;
    const started = new Set(reply.started.map(({ attempt }) => attempt));
    this.dependencies.emit(143, { runner, session, started: started.size });
    for (const request of lost.attempts.values()) {
      const isResumption = request.run !== request.attempt;
      if (started.has(request.attempt)) {
        request.startEvidence = "started";
        this.attempts.awaitResume(link, request, now);
      } else if (isResumption) {
        this.attempts.awaitResume(link, request, now);
      } else {
        this.requests.retryPlacement(request, 1403, 0, now);
      }
    }
  }

  /** The close wasn't confirmed in time, so sent attempts may have run. */
  private resolveUnconfirmed(
    link: EntryLink,
    lost: LostSession,
    now: number,
  ): void {
    const { runner } = link;
    const session = lost.session.number;
    link.lostSessions.delete(session);
    const requests = lost.attempts.size;
    if (requests > 0)
      this.dependencies.emit(144, { runner, session, requests });
    for (const request of lost.attempts.values()) {
      if (this.dependencies.without === "unanswered-close")
        request.startEvidence = "none";
      this.requests.abandonRun(request, 1211, "lost", now);
    }
  }
}
