/** The calls that an entry has under way, by name and by awaited attempt. */
import type { CallState, Phase } from "./coordinator-types.js";
import type { ClaimRequest } from "./types.js";

export class ClaimCalls {
  private readonly states = new Map<string, CallState>();
  /** Own attempts that wait for their reading, to the call's name. */
  private readonly attempts = new Map<string, string>();

  private constructor() {
    // made by create
  }

  static create(): ClaimCalls {
    return new ClaimCalls();
  }

  get size(): number {
    return this.states.size;
  }

  all(): Iterable<CallState> {
    return this.states.values();
  }

  get(call: string): CallState | undefined {
    return this.states.get(call);
  }

  /** The call that waits for a record about this attempt. */
  byAttempt(attempt: string): CallState | undefined {
    return this.states.get(this.attempts.get(attempt) ?? "");
  }

  /** Moves a call on; how long it has waited for an attempt is kept. */
  move(
    request: ClaimRequest,
    phase: Phase,
    nowMs: number,
    giveUpAtMs?: number,
  ): CallState {
    const { call } = request;
    const known = this.states.get(call);
    if (known !== undefined) this.attempts.delete(known.phase.claim.attempt);
    const { attempt } = phase.claim;
    if (phase.kind === "claiming" || phase.kind === "closing") {
      this.attempts.set(attempt, call);
    }
    const awaited =
      known?.awaited.attempt === attempt
        ? known.awaited
        : { attempt, sinceMs: nowMs };
    const state = {
      request,
      phase,
      awaited,
      giveUpAtMs: giveUpAtMs ?? known?.giveUpAtMs ?? request.giveUpAtMs,
    };
    this.states.set(call, state);
    return state;
  }

  delete(call: string): void {
    const known = this.states.get(call);
    if (known === undefined) return;
    this.attempts.delete(known.phase.claim.attempt);
    this.states.delete(call);
  }
}
