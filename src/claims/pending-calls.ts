/** The pending calls of an entry, by call id and by awaited attempt. */
import type { CallState, Phase } from "./coordinator-types.js";
import type { ClaimRequest } from "./types.js";

export class PendingCalls {
  private readonly states = new Map<string, CallState>();
  /** Call id of each own attempt whose claim or close isn't read back yet. */
  private readonly callsByAttempt = new Map<string, string>();

  private constructor() {
    // Instances come from create().
  }

  static create(): PendingCalls {
    return new PendingCalls();
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

  /** The call that waits for a claim or close record of this attempt. */
  byAttempt(attempt: string): CallState | undefined {
    return this.states.get(this.callsByAttempt.get(attempt) ?? "");
  }

  /**
   * Puts a call into a phase. The wait start is kept while the call waits for
   * the same attempt.
   */
  setPhase(
    request: ClaimRequest,
    phase: Phase,
    nowMs: number,
    giveUpAtMs?: number,
  ): CallState {
    const { call } = request;
    const known = this.states.get(call);
    if (known !== undefined)
      this.callsByAttempt.delete(known.phase.claim.attempt);
    const { attempt } = phase.claim;
    if (phase.kind === "claiming" || phase.kind === "closing") {
      this.callsByAttempt.set(attempt, call);
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
    this.callsByAttempt.delete(known.phase.claim.attempt);
    this.states.delete(call);
  }
}
