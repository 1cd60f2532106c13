/**
 * The entry's end of its connections to one agent: one session at a time,
 * heartbeats, silence, reconnection. A session is never reused: every new
 * connection carries the next number.
 */
import type { Emit } from "../shared/events.js";
import type { Random } from "../shared/random.js";
import type { EntryEffect, EntrySessionsOptions } from "./entry-types.js";
import type { RequestState } from "./entry-request.js";
import type { SessionLimits } from "./limits.js";
import type { EntryFrame, SessionId } from "./types.js";

/** A session that ended while attempts were out on it. */
export interface LostSession {
  readonly session: SessionId;
  readonly attempts: Map<number, RequestState>;
  readonly giveUpAt: number;
  /** When the close is sent again; infinite while one is under way. */
  askAt: number;
}

type LinkState = "idle" | "connecting" | "live";

export class EntryLink {
  /** Sessions that await the agent's close, by number. */
  readonly lost = new Map<number, LostSession>();
  /** Requests that wait for a session to resume on. */
  readonly resuming = new Set<RequestState>();
  /** Attempts out on the current session, in order of dispatch. */
  outstanding = new Map<number, RequestState>();
  leaving = false;
  number = 0;
  session: SessionId | undefined;
  /** Incarnation of the last live session. */
  agentIncarnation = "";
  private state: LinkState = "idle";
  private nextSequence = 1;
  private stateSince = 0;
  private heardAt = 0;
  private heartbeatAt = 0;
  private reconnectAt = 0;
  private failures = 0;

  private constructor(
    readonly runner: string,
    private readonly entry: Omit<
      Extract<EntryFrame, { kind: "open" }>,
      "kind" | "number"
    >,
    private readonly perform: (effect: EntryEffect) => void,
    private readonly random: Random,
    private readonly emit: Emit,
    private readonly limits: SessionLimits,
  ) {}

  static create(
    runner: string,
    options: EntrySessionsOptions,
    limits: SessionLimits,
  ): EntryLink {
    const { entry, incarnation, dataCentre, release } = options;
    const { perform, random, emit } = options;
    const opening = {
      entry,
      entryIncarnation: incarnation,
      dataCentre,
      release,
    };
    return new EntryLink(runner, opening, perform, random, emit, limits);
  }

  get isLive(): boolean {
    return this.state === "live";
  }

  connect(now: number): void {
    this.number += 1;
    this.state = "connecting";
    this.stateSince = now;
    const { runner, number } = this;
    this.perform({ kind: "connect", runner, number });
    this.send({ kind: "open", number, ...this.entry });
  }

  /** Takes the agent's answer to the opening; false if it isn't for us. */
  opened(session: SessionId, group: string, now: number): boolean {
    if (this.state !== "connecting") return false;
    if (session.number !== this.number) return false;
    if (session.entryIncarnation !== this.entry.entryIncarnation) return false;
    if (session.agentIncarnation !== this.agentIncarnation) {
      this.leaving = false;
    }
    this.agentIncarnation = session.agentIncarnation;
    this.session = session;
    this.state = "live";
    this.failures = 0;
    this.nextSequence = 1;
    this.outstanding = new Map();
    this.heardAt = now;
    const { runner } = this;
    this.emit(141, { runner, session: session.number });
    this.perform({ kind: "session-live", runner, session, group });
    return true;
  }

  heard(now: number): void {
    this.heardAt = now;
  }

  send(frame: EntryFrame): void {
    const { runner, number } = this;
    this.perform({ kind: "send", runner, number, frame });
  }

  /** Sequence for the next dispatch; its request counts as outstanding. */
  hold(request: RequestState): number {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    request.holder = this.outstanding;
    request.sequence = sequence;
    this.outstanding.set(sequence, request);
    return sequence;
  }

  /**
   * Tells the agent up to where every attempt is settled, so that it can
   * forget them. The map keeps the order of dispatch: its first key is the
   * lowest sequence still out. Sent in a steady rhythm also under load: what
   * the agent isn't told of it has to keep.
   */
  sendHeartbeat(now: number): void {
    this.heartbeatAt = now;
    const lowest = this.outstanding.keys().next();
    const settledBelow =
      lowest.done === true ? this.nextSequence : lowest.value;
    const { leaving: leavingSeen } = this;
    this.send({ kind: "heartbeat", settledBelow, leavingSeen });
  }

  /**
   * Ends the current connection. Attempts out on it stay in doubt until the
   * agent has closed the session; without one there is nothing to prove.
   */
  lose(reason: string, now: number): LostSession | undefined {
    const { runner, number, session, outstanding } = this;
    const wasLive = this.state === "live";
    this.perform({ kind: "disconnect", runner, number });
    this.state = "idle";
    this.session = undefined;
    this.scheduleReconnection(wasLive, now);
    if (!wasLive || session === undefined) return undefined;
    this.emit(142, { runner, session: number, reason });
    this.perform({ kind: "session-lost", runner });
    this.outstanding = new Map();
    if (outstanding.size === 0) return undefined;
    const lost: LostSession = {
      session,
      attempts: outstanding,
      giveUpAt: now + this.limits.doubtMs,
      askAt: now,
    };
    this.lost.set(number, lost);
    return lost;
  }

  /** Connects, keeps the session alive, and tells when it has to be lost. */
  tick(now: number): "silent" | "not-opened" | undefined {
    const { limits } = this;
    switch (this.state) {
      case "idle":
        if (now >= this.reconnectAt) this.connect(now);
        return undefined;
      case "connecting":
        return now - this.stateSince > limits.openMs ? "not-opened" : undefined;
      case "live":
        if (now - this.heardAt > limits.silentAfterMs) return "silent";
        if (now - this.heartbeatAt >= limits.heartbeatMs) {
          this.sendHeartbeat(now);
        }
        return undefined;
    }
  }

  /** After a pause of this process nothing can be said about silence yet. */
  forgivePause(now: number): void {
    this.heardAt = now;
  }

  /**
   * A lost session is replaced at once, because its streams wait. A failed
   * connection waits twice as long each time, with jitter: hundreds of
   * entries reconnect when an agent or a data centre returns.
   */
  private scheduleReconnection(wasLive: boolean, now: number): void {
    if (wasLive) {
      this.reconnectAt = now;
      return;
    }
    const { reconnectMs, reconnectMaximumMs } = this.limits;
    const pauseMs = Math.min(
      reconnectMs * 2 ** this.failures,
      reconnectMaximumMs,
    );
    this.failures += 1;
    this.reconnectAt = now + pauseMs * (0.5 + this.random() / 2);
  }
}
