/** Types of admission control: whether and when a request may start. */
import type { ApricotdeckError, Emit, Now, Random } from "../internal.js";

export interface QueueBounds {
  /** Maximum cost of the profile's waiting requests at one entry. */
  readonly maximumTokens: number;
  readonly maximumWaitMs: number;
}

/** Token limit of a client account across all entries. */
export interface AccountLimit {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

export interface AdmissionRequest {
  readonly id: string;
  readonly account: string;
  /** The account's weight in the fair share among accounts. */
  readonly weight: number;
  readonly accountLimit?: AccountLimit;
  /** The model or plain service that the request is for. */
  readonly pool: string;
  readonly profile: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** Tokens of the prompt and of the expected output. */
  readonly costTokens: number;
  /** Expected time from the start of the request to its end. */
  readonly serviceMs: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly queue: QueueBounds;
  /** Maximum number of the profile's requests running from this entry. */
  readonly concurrency: number;
  /**
   * Whether its caller comes back after a refusal: it goes before its account's
   * new requests. False if left out.
   */
  readonly isReturn?: boolean;
}

export interface Refusal {
  /** Its outcome is "not-run". */
  readonly error: ApricotdeckError;
  /** Time after which a retry has a chance of success. */
  readonly retryAfterMs: number;
}

export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "queued" }
  | ({ readonly kind: "refused" } & Refusal);

/** Waiting requests of one priority. */
export interface WaitingRequests {
  readonly priority: number;
  readonly waiting: number;
  readonly oldestArrivedAtMs: number;
}

/** Actual cost and duration of a started request. */
export interface RequestCompletion {
  /** Actual tokens of prompt and output; the estimate if they are unknown. */
  readonly costTokens: number;
  /**
   * Time from sending to the end; undefined if the request wasn't served, as it
   * then says nothing about the pool.
   */
  readonly durationMs: number | undefined;
}

export interface AdmissionInputs {
  readonly now: Now;
  readonly random: Random;
  readonly emit: Emit;
  /** Places and sends a request; false if no runner has capacity for it. */
  readonly start: (request: AdmissionRequest) => boolean;
  /** Called as soon as a waiting request is refused, to answer its caller. */
  readonly giveUp: (request: AdmissionRequest, refusal: Refusal) => void;
  /** Number of live entries in the VM list, including this one. */
  readonly countLiveEntries: () => number;
  /**
   * Time after which a refused caller is to come back, ms; from the predicted
   * wait alone if left out.
   */
  readonly retryDelayMs?: (request: AdmissionRequest, waitMs: number) => number;
  readonly tuning?: Partial<AdmissionTuning>;
}

/** Policy constants; docs/measurements/admission.md has the measurements. */
export interface AdmissionTuning {
  /**
   * Share of the time until a request has to start that its predicted wait may
   * take.
   */
  readonly waitShare: number;
  /**
   * Time that must remain to the deadline when a request starts, as a multiple
   * of its expected service time.
   */
  readonly serviceMargin: number;
}
