/**
 * The entry's connection to one agent: one session at a time, with heartbeats,
 * silence detection and reconnection. Sessions aren't reused: every new
 * connection opens a session with the next number.
 */
import type { Emit } from "../shared/events.js";
import type { Random } from "../shared/random.js";
import type { EntryEffect, EntrySessionsOptions } from "./entry-types.js";
import type { RequestState } from "./request-state.js";
import type { SessionLimits } from "./limits.js";
import type { EntryFrame, SessionId } from "./types.js";

/** A session that ended with attempts outstanding. */
export interface LostSession {
  readonly session: SessionId;
  readonly attempts: Map<number, RequestState>;
  readonly giveUpAt: number;
  /** When to send the next close; infinite while one is in flight. */
  nextCloseAt: number;
}

type LinkState = "idle" | "connecting" | "live";

export class EntryLink {
  /** Sessions whose close isn't confirmed by the agent, by number. */
  readonly lostSessions = new Map<number, LostSession>();
  /** Requests that wait for a live session to be resumed on. */
  readonly requestsToResume = new Set<RequestState>();
  /** Requests with an attempt on the current session, by sequence. */
  outstanding = new Map<number, RequestState>();
  leaving = false;
  number = 0;
  session: SessionId | undefined;
  /** Incarnation of the last live session. */
  agentIncarnation = "";
  private state: LinkState = "idle";
  private nextSequence = 1;
  private stateSince = 0;
  private lastReceivedAt = 0;
  private lastHeartbeatAt = 0;
  private reconnectAt = 0;
  private consecutiveFailures = 0;

  private constructor(
    readonly runner: string,
    private readonly openFields: Omit<
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
    const openFields = {
      entry,
      entryIncarnation: incarnation,
      dataCentre,
      release,
    };
    return new EntryLink(runner, openFields, perform, random, emit, limits);
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
    this.send({ kind: "open", number, ...this.openFields });
  }

  /** Handles the reply to the opening; false if it is for another session. */
  handleOpened(session: SessionId, group: string, now: number): boolean {
    if (this.state !== "connecting") return false;
    if (session.number !== this.number) return false;
    if (session.entryIncarnation !== this.openFields.entryIncarnation)
      return false;
    if (session.agentIncarnation !== this.agentIncarnation) {
      this.leaving = false;
    }
    this.agentIncarnation = session.agentIncarnation;
    this.session = session;
    this.state = "live";
    this.consecutiveFailures = 0;
    this.nextSequence = 1;
    this.outstanding = new Map();
    this.lastReceivedAt = now;
    const { runner } = this;
    this.emit(141, { runner, session: session.number });
    this.perform({ kind: "session-live", runner, session, group });
    return true;
  }

  markReceived(now: number): void {
    this.lastReceivedAt = now;
  }

  send(frame: EntryFrame): void {
    const { runner, number } = this;
    this.perform({ kind: "send", runner, number, frame });
  }

  /** Adds the request to the outstanding ones and returns its sequence. */
  registerDispatch(request: RequestState): number {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    request.sessionAttempts = this.outstanding;
    request.sequence = sequence;
    this.outstanding.set(sequence, request);
    return sequence;
  }

  /**
   * Tells the agent below which sequence every attempt is settled, so that it
   * can free their state. The map is in order of dispatch, so its first key is
   * the lowest outstanding sequence. Sent at a fixed interval even under load,
   * because the agent keeps all attempts until then.
   */
  sendHeartbeat(now: number): void {
    this.lastHeartbeatAt = now;
    const lowest = this.outstanding.keys().next();
    const settledBelow =
      lowest.done === true ? this.nextSequence : lowest.value;
    const { leaving: leavingSeen } = this;
    this.send({ kind: "heartbeat", settledBelow, leavingSeen });
  }

  /**
   * Ends the current connection. The state of its attempts is unknown until
   * the agent confirms the close of the session. Returns undefined if there
   * was no live session or no attempt was outstanding.
   */
  disconnect(reason: string, now: number): LostSession | undefined {
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
      giveUpAt: now + this.limits.closeTimeoutMs,
      nextCloseAt: now,
    };
    this.lostSessions.set(number, lost);
    return lost;
  }

  /** Reconnects and sends heartbeats; returns a reason to end the session. */
  tick(now: number): "silent" | "not-opened" | undefined {
    const { limits } = this;
    switch (this.state) {
      case "idle":
        if (now >= this.reconnectAt) this.connect(now);
        return undefined;
      case "connecting":
        return now - this.stateSince > limits.openTimeoutMs
          ? "not-opened"
          : undefined;
      case "live":
        if (now - this.lastReceivedAt > limits.silenceTimeoutMs)
          return "silent";
        if (now - this.lastHeartbeatAt >= limits.heartbeatMs) {
          this.sendHeartbeat(now);
        }
        return undefined;
    }
  }

  /** Restarts the silence timeout after a pause of this process. */
  resetSilenceTimer(now: number): void {
    this.lastReceivedAt = now;
  }

  /**
   * Reconnects at once after a live session, because its streams are waiting.
   * Failed connections use exponential backoff with jitter, because hundreds
   * of entries reconnect when an agent or a data centre returns.
   */
  private scheduleReconnection(wasLive: boolean, now: number): void {
    if (wasLive) {
      this.reconnectAt = now;
      return;
    }
    const { reconnectBackoffMs, reconnectBackoffMaximumMs } = this.limits;
    const backoffMs = Math.min(
      reconnectBackoffMs * 2 ** this.consecutiveFailures,
      reconnectBackoffMaximumMs,
    );
    this.consecutiveFailures += 1;
    this.reconnectAt = now + backoffMs * (0.5 + this.random() / 2);
  }
}
