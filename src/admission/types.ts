/** Types of admission: whether and when a request may start. */
import type { ApricotdeckError, Emit, Now, Random } from "../internal.js";

export interface QueueBounds {
  /** Most work of the profile waiting in one entry. */
  readonly maximumTokens: number;
  readonly maximumWaitMs: number;
}

/** Limit of a client account over all entries together. */
export interface AccountLimit {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

export interface AdmissionRequest {
  readonly id: string;
  readonly account: string;
  /** Share of the account against the others. */
  readonly weight: number;
  readonly accountLimit?: AccountLimit;
  /** Model or plain service. */
  readonly pool: string;
  readonly profile: string;
  /** 0 is served first. */
  readonly priority: number;
  /** Prompt and expected output. */
  readonly costTokens: number;
  /** Expected time from start to end. */
  readonly serviceMs: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly queue: QueueBounds;
  /** Requests of the profile running at once from this entry. */
  readonly concurrency: number;
}

export interface Refusal {
  /** Its outcome is "not run". */
  readonly error: ApricotdeckError;
  /** When the client may come back with a chance of success. */
  readonly retryAfterMs: number;
}

export type Offer =
  | { readonly kind: "admitted" }
  | { readonly kind: "queued" }
  | ({ readonly kind: "refused" } & Refusal);

/** What a started request came to. */
export interface Ended {
  /** Prompt and output as they were; the estimate when unknown. */
  readonly costTokens: number;
  /** From sending to the end; undefined when it tells nothing of the pool. */
  readonly durationMs: number | undefined;
}

export interface AdmissionInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  /** Places and sends a request; false when no runner has room for it. */
  readonly start: (request: AdmissionRequest) => boolean;
  /** Answers a queued request that was given up. Called at once. */
  readonly giveUp: (request: AdmissionRequest, refusal: Refusal) => void;
  /** Live entries, this one included, as the VM list has them. */
  readonly entries: () => number;
  readonly tuning?: Partial<AdmissionTuning>;
}

/** Constants of the policy; docs/measurements/admission.md has the figures. */
export interface AdmissionTuning {
  /** Part of the time left that a request may be predicted to wait. */
  readonly waitShare: number;
  /** Expected service times that must be left when a request starts. */
  readonly serviceMargin: number;
}
