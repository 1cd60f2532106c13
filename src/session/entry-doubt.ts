/**
 * Sessions that were lost with attempts out on them, until the agent has closed
 * them or nobody answers any more.
 */
import type { EntryAttempts } from "./entry-attempts.js";
import type { EntryLink, LostSession } from "./entry-link.js";
import type { EntryRequests } from "./entry-requests.js";
import type { EntrySessionsOptions } from "./entry-types.js";
import type { SessionLimits } from "./limits.js";
import type { CloseReply } from "./types.js";

type Tools = Pick<EntrySessionsOptions, "perform" | "emit" | "without">;

export class EntryDoubt {
  private constructor(
    private readonly options: Tools,
    private readonly requests: EntryRequests,
    private readonly attempts: EntryAttempts,
    private readonly limits: SessionLimits,
  ) {}

  static create(
    options: Tools,
    requests: EntryRequests,
    attempts: EntryAttempts,
    limits: SessionLimits,
  ): EntryDoubt {
    return new EntryDoubt(options, requests, attempts, limits);
  }

  /** The agent's answer to the close of the session of this number. */
  closeAnswered(
    link: EntryLink,
    number: number,
    reply: CloseReply,
    now: number,
  ): void {
    const lost = link.lost.get(number);
    if (lost === undefined) return;
    link.lost.delete(number);
    const { agentIncarnation } = lost.session;
    const isSame = reply.agentIncarnation === agentIncarnation;
    if (
      reply.closed &&
      (isSame || this.options.without === "agent-incarnation")
    ) {
      this.proved(link, lost, reply, now);
      return;
    }
    // A restarted agent knows nothing of the session: what its predecessor
    // started can only be found through the engine. An agent that has
    // forgotten the session can prove nothing.
    for (const request of lost.attempts.values()) {
      if (isSame) this.requests.abandon(request, 1211, "lost", now);
      else this.attempts.awaitResume(link, request, now);
    }
  }

  /** The close got no answer; it is sent again until the doubt limit. */
  closeFailed(link: EntryLink, number: number, now: number): void {
    const lost = link.lost.get(number);
    if (lost !== undefined) lost.askAt = now + this.limits.closeAgainMs;
  }

  /** Asks again for closes, or gives them up. */
  tick(link: EntryLink, now: number): void {
    for (const lost of link.lost.values()) {
      if (now >= lost.giveUpAt) this.unproved(link, lost, now);
      else if (now >= lost.askAt) this.askForClose(link, lost);
    }
  }

  lose(link: EntryLink, reason: string, now: number): void {
    const lost = link.lose(reason, now);
    if (lost === undefined) return;
    for (const request of lost.attempts.values()) request.phase = "doubt";
    this.askForClose(link, lost);
  }

  private askForClose(link: EntryLink, lost: LostSession): void {
    lost.askAt = Number.POSITIVE_INFINITY;
    const { runner } = link;
    const { session } = lost;
    this.options.perform({ kind: "close-session", runner, session });
  }

  /**
   * The agent has closed the session: what it lists has started and goes on
   * from the next piece; everything else can never start any more.
   */
  private proved(
    link: EntryLink,
    lost: LostSession,
    reply: CloseReply,
    now: number,
  ): void {
    const { runner } = link;
    const session = lost.session.number;
    const started = new Set(reply.started.map(({ attempt }) => attempt));
    this.options.emit(143, { runner, session, started: started.size });
    for (const request of lost.attempts.values()) {
      const isResumption = request.run !== request.attempt;
      if (started.has(request.attempt)) {
        request.evidence = "started";
        this.attempts.awaitResume(link, request, now);
      } else if (isResumption) {
        this.attempts.awaitResume(link, request, now);
      } else {
        this.requests.placeAgain(request, 1403, 0, now);
      }
    }
  }

  /** No proof came: what was sent may have run, and callers are told so. */
  private unproved(link: EntryLink, lost: LostSession, now: number): void {
    const { runner } = link;
    const session = lost.session.number;
    link.lost.delete(session);
    const requests = lost.attempts.size;
    if (requests > 0) this.options.emit(144, { runner, session, requests });
    for (const request of lost.attempts.values()) {
      if (this.options.without === "unanswered-close")
        request.evidence = "none";
      this.requests.abandon(request, 1211, "lost", now);
    }
  }
}
