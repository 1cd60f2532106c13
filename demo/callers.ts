/**
 * Simulated callers. Every call carries a unique prompt, from which the caller
 * checks that the answer is complete and belongs to its own request.
 */
import { createHash } from "node:crypto";
import { v7 as uuidV7 } from "uuid";
import type { Random } from "../src/internal.js";
import { randomBelow } from "../src/internal.js";
import { tokenText } from "../standins/engine-runs.js";
import { credentialOf, MODEL, type SiteName } from "./configurations.js";

export type CallKind = "stream" | "whole" | "records" | "order";

export type CallOutcome =
  | "answered"
  | "not-run"
  | "unknown"
  | "broken-off"
  /** An apparent success with incomplete content or another call's content. */
  | "wrong"
  /** The call failed without a response. */
  | "no-answer";

export interface CallResult {
  readonly kind: CallKind;
  /** Unique text that identifies the call in the runners' records. */
  readonly marker: string;
  readonly outcome: CallOutcome;
  readonly startedAtMs: number;
  readonly firstByteMs: number;
  readonly durationMs: number;
  readonly detail: string;
}

export interface Caller {
  readonly site: SiteName;
  readonly addresses: () => readonly string[];
  readonly random: Random;
}

interface CallPlan {
  readonly kind: CallKind;
  readonly marker: string;
  readonly tokens: number;
  readonly account: number;
}

interface ReceivedResponse {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
  readonly firstByteMs: number;
  /** The connection was cut before the end of the body. */
  readonly isCut: boolean;
}

const SHORT_TOKENS = 12;
const LONG_TOKENS = 400;
const PREFIX_COUNT = 4;
const PREFIX_TEXT = "standing instructions for crews and consultants. ";
const CALL_TIMEOUT_MS = 40_000;

export async function makeCall(caller: Caller): Promise<CallResult> {
  const plan = planCall(caller.random);
  const startedAtMs = Date.now();
  const monotonicStartMs = performance.now();
  const addresses = caller.addresses();
  const address = addresses[randomBelow(caller.random, addresses.length)];
  const received = await send(caller, address, plan);
  const { outcome, detail } = classifyOutcome(plan, received);
  return {
    kind: plan.kind,
    marker: plan.marker,
    outcome,
    detail,
    startedAtMs,
    firstByteMs: received?.firstByteMs ?? 0,
    durationMs: performance.now() - monotonicStartMs,
  };
}

/** Draws a call: account 0 sends most of them, and 15% of answers are long. */
function planCall(random: Random): CallPlan {
  const draw = random();
  const kind: CallKind =
    draw < 0.5
      ? "stream"
      : draw < 0.75
        ? "whole"
        : draw < 0.9
          ? "records"
          : "order";
  const isLong = random() < 0.15;
  const account = random() < 0.6 ? 0 : randomBelow(random, 10);
  const prefix = PREFIX_TEXT.repeat(
    8 * (1 + randomBelow(random, PREFIX_COUNT)),
  );
  const marker = `${prefix}${uuidV7()}`;
  return { kind, marker, tokens: isLong ? LONG_TOKENS : SHORT_TOKENS, account };
}

async function send(
  { site }: Caller,
  address: string,
  plan: CallPlan,
): Promise<ReceivedResponse | undefined> {
  const { path, profile, body } = requestOf(plan);
  const startedAtMs = performance.now();
  try {
    const response = await fetch(`http://${address}${path}`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${credentialOf(site, plan.account)}`,
        "apricotdeck-profile": profile,
        ...(plan.kind === "order" ? { "idempotency-key": uuidV7() } : {}),
      },
      body,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const { text, isCut, firstByteMs } = await readText(response, startedAtMs);
    const outcome = response.headers.get("apricotdeck-outcome") ?? "";
    const { status } = response;
    return { status, outcome, text, firstByteMs, isCut };
  } catch {
    return undefined;
  }
}

function requestOf(plan: CallPlan): {
  readonly path: string;
  readonly profile: string;
  readonly body: string;
} {
  const { kind, marker, tokens } = plan;
  if (kind === "records" || kind === "order") {
    const profile = kind === "order" ? "orders" : "records";
    return { path: "/services/records/valves", profile, body: marker };
  }
  const stream = kind === "stream";
  const content = { model: MODEL, prompt: marker, max_tokens: tokens, stream };
  return {
    path: "/v1/completions",
    profile: "drafting",
    body: JSON.stringify(content),
  };
}

async function readText(
  response: Response,
  startedAtMs: number,
): Promise<{ text: string; isCut: boolean; firstByteMs: number }> {
  let text = "";
  let firstByteMs = 0;
  const decoder = new TextDecoder();
  try {
    for await (const part of response.body ?? []) {
      if (firstByteMs === 0) firstByteMs = performance.now() - startedAtMs;
      text += decoder.decode(part as Uint8Array, { stream: true });
    }
  } catch {
    return { text, isCut: true, firstByteMs };
  }
  return { text, isCut: false, firstByteMs };
}

function classifyOutcome(
  plan: CallPlan,
  received: ReceivedResponse | undefined,
): { readonly outcome: CallOutcome; readonly detail: string } {
  if (received === undefined) return { outcome: "no-answer", detail: "" };
  const { status, text, isCut } = received;
  const reportedOutcome = /"outcome":"(not-run|unknown|broken-off)"/.exec(
    text,
  )?.[1];
  const isWhole = !isCut && status === 200 && reportedOutcome === undefined;
  if (isWhole) {
    const isOwn = readAnswer(plan, text) === expectedAnswer(plan);
    const detail = isOwn ? "" : text.slice(0, 200);
    return { outcome: isOwn ? "answered" : "wrong", detail };
  }
  const outcome = (reportedOutcome ?? "broken-off") as CallOutcome;
  return { outcome, detail: text.slice(-300) };
}

function expectedAnswer({ kind, marker, tokens }: CallPlan): string {
  if (kind === "records" || kind === "order") return marker;
  const digest = createHash("sha256").update(marker).digest("hex").slice(0, 8);
  const indexes = Array.from({ length: tokens }, (_, index) => index);
  return indexes.map((index) => tokenText(digest, index)).join("");
}

/** Extracts the answer text; empty if the response is malformed. */
function readAnswer({ kind }: CallPlan, text: string): string {
  try {
    if (kind === "stream") return readStream(text);
    const body = JSON.parse(text) as {
      readonly echo?: string;
      readonly choices?: readonly { readonly text: string }[];
    };
    return body.echo ?? body.choices?.at(0)?.text ?? "";
  } catch {
    return "";
  }
}

function readStream(text: string): string {
  const events = text
    .split("\n\n")
    .filter((event) => event.startsWith("data: "))
    .map((event) => event.slice("data: ".length));
  if (events.at(-1) !== "[DONE]") return "";
  return events
    .slice(0, -1)
    .map((event) => {
      const chunk = JSON.parse(event) as {
        readonly choices: readonly { readonly text: string }[];
      };
      return chunk.choices[0].text;
    })
    .join("");
}
