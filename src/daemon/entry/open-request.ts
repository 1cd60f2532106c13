/** State that admission and placement keep for a caller's request. */
import type {
  AdmissionRequest,
  ClientAccount,
  OutputEstimate,
  PlacedRequest,
} from "../../internal.js";
import type { EntrySettings } from "../settings.js";
import { poolOfProfile } from "./pools.js";
import { prefixHashes } from "./prefix-hashes.js";
import type { CallerRequest } from "./caller-request.js";

/** Same estimate as in the request reader. */
const CHARACTERS_PER_TOKEN = 4;

export interface OpenRequest {
  readonly callerRequest: CallerRequest;
  readonly admission: AdmissionRequest;
  readonly promptTokens: number;
  readonly prefix: readonly number[];
  excluded: readonly string[];
  attempts: number;
  retryDelayMs: number;
  placedRequest: PlacedRequest | undefined;
  /** The request has left the queue and hasn't finished. */
  isRunning: boolean;
  sentAtMs: number;
  pieceCount: number;
}

export function createOpenRequest(
  callerRequest: CallerRequest,
  account: ClientAccount | undefined,
  outputs: OutputEstimate,
  settings: EntrySettings["placement"],
): OpenRequest {
  const { prompt, costTokens } = callerRequest;
  const isModel = prompt !== "";
  const promptTokens = isModel
    ? Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)
    : costTokens;
  const maximumOutputTokens = costTokens - promptTokens;
  const outputTokens = outputs.estimateTokens(
    callerRequest.account,
    callerRequest.profile.name,
    maximumOutputTokens,
  );
  return {
    callerRequest,
    promptTokens,
    prefix: prefixHashes(prompt, settings.blockTokens * CHARACTERS_PER_TOKEN),
    excluded: [],
    attempts: 0,
    retryDelayMs: 0,
    placedRequest: undefined,
    isRunning: false,
    sentAtMs: 0,
    pieceCount: 0,
    admission: createAdmissionRequest(
      callerRequest,
      account,
      promptTokens,
      outputTokens,
      settings,
    ),
  };
}

function createAdmissionRequest(
  callerRequest: CallerRequest,
  account: ClientAccount | undefined,
  promptTokens: number,
  outputTokens: number,
  { stepMs, prefillMsPerToken }: EntrySettings["placement"],
): AdmissionRequest {
  const { profile } = callerRequest;
  const arrivedAtMs = performance.now();
  const accountLimit = account?.limit;
  return {
    id: callerRequest.id,
    account: callerRequest.account,
    weight: account?.weight ?? 1,
    ...(accountLimit === undefined ? {} : { accountLimit }),
    pool: poolOfProfile(profile),
    profile: profile.name,
    priority: profile.priority,
    costTokens: promptTokens + outputTokens,
    serviceMs: promptTokens * prefillMsPerToken + outputTokens * stepMs,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + (callerRequest.deadlineAtMs - Date.now()),
    queue: profile.queue,
    concurrency: profile.concurrency,
  };
}
