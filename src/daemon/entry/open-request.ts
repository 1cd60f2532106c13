/** A caller's request as admission and placement look at it. */
import type {
  AdmissionRequest,
  ClientAccount,
  OutputEstimate,
  Placed,
} from "../../internal.js";
import type { EntrySettings } from "../settings.js";
import { poolOfProfile } from "./pools.js";
import { prefixHashes } from "./prefix-hashes.js";
import type { Work } from "./work.js";

/** As the reader of requests reckons. */
const CHARACTERS_PER_TOKEN = 4;

export interface OpenRequest {
  readonly work: Work;
  readonly admission: AdmissionRequest;
  readonly promptTokens: number;
  readonly prefix: readonly number[];
  excluded: readonly string[];
  attempts: number;
  retryDelayMs: number;
  placed: Placed | undefined;
  /** It left the queue and hasn't finished. */
  running: boolean;
  sentAtMs: number;
  pieces: number;
}

export function openRequest(
  work: Work,
  account: ClientAccount | undefined,
  outputs: OutputEstimate,
  settings: EntrySettings["placement"],
): OpenRequest {
  const { prompt, costTokens } = work;
  const isModel = prompt !== "";
  const promptTokens = isModel
    ? Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)
    : costTokens;
  const limit = costTokens - promptTokens;
  const output = outputs.expect(work.account, work.profile.name, limit);
  return {
    work,
    promptTokens,
    prefix: prefixHashes(prompt, settings.blockTokens * CHARACTERS_PER_TOKEN),
    excluded: [],
    attempts: 0,
    retryDelayMs: 0,
    placed: undefined,
    running: false,
    sentAtMs: 0,
    pieces: 0,
    admission: admissionRequest(work, account, promptTokens, output, settings),
  };
}

function admissionRequest(
  work: Work,
  account: ClientAccount | undefined,
  promptTokens: number,
  output: number,
  { stepMs, prefillMsPerToken }: EntrySettings["placement"],
): AdmissionRequest {
  const { profile } = work;
  const arrivedAtMs = performance.now();
  const accountLimit = account?.limit;
  return {
    id: work.id,
    account: work.account,
    weight: account?.weight ?? 1,
    ...(accountLimit === undefined ? {} : { accountLimit }),
    pool: poolOfProfile(profile),
    profile: profile.name,
    priority: profile.priority,
    costTokens: promptTokens + output,
    serviceMs: promptTokens * prefillMsPerToken + output * stepMs,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + (work.deadlineAtMs - Date.now()),
    queue: profile.queue,
    concurrency: profile.concurrency,
  };
}
