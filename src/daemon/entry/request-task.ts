/** One task for each accepted request: place, dispatch, stream, finish. */
import {
  createDeferred,
  failure,
  unreachable,
  type Call,
  type ErrorNumber,
  type FinalOutcome,
} from "../../internal.js";
import type { RequestDispatcher } from "./request-dispatcher.js";
import type { RequestEffect, Sessions } from "./sessions.js";
import type { AnswerWriter, Work } from "./work.js";

export interface RequestTaskOptions {
  readonly work: Work;
  readonly writer: AnswerWriter;
  readonly dispatcher: RequestDispatcher;
  readonly sessions: Sessions;
}

export interface RequestResult {
  readonly outcome: FinalOutcome;
  readonly error: ErrorNumber | 0;
}

const RETRY_AFTER_MS = 1000;

/** Throws 1213 when the entry is leaving; resolves with the final outcome. */
export async function runRequest(
  options: RequestTaskOptions,
): Promise<RequestResult> {
  const { work, writer, sessions, dispatcher } = options;
  const { promise, resolve } = createDeferred<RequestResult>();
  const deadlineMs = work.deadlineAtMs - Date.now();
  writer.signal.addEventListener("abort", () => {
    sessions.cancel(work.id);
  });
  sessions
    .accept(callOf(work), deadlineMs, {
      place: () => {
        dispatcher.place(work);
      },
      onEffect: (effect) => {
        dispatcher.onEffect(work.id, effect);
        if (effect.kind === "finish") resolve(effect);
        passOn(writer, effect);
      },
    })
    .ifLeft((error) => {
      throw error;
    });
  return promise;
}

function passOn(writer: AnswerWriter, effect: RequestEffect): void {
  switch (effect.kind) {
    case "piece":
      writer.piece(effect.data as Buffer);
      return;
    case "head":
      writer.head(effect.status, effect.headers);
      return;
    case "discard":
      writer.discard();
      return;
    case "finish":
      if (effect.error === 0) writer.end();
      else writer.fail(failure(effect.error), retryAfterMs(effect));
      return;
    case "place":
    case "run-over":
      return;
    default:
      unreachable(effect);
  }
}

/** Only what was not run may simply be sent again. */
function retryAfterMs(
  effect: Extract<RequestEffect, { kind: "finish" }>,
): number {
  if (effect.outcome !== "not-run") return 0;
  return effect.retryAfterMs || RETRY_AFTER_MS;
}

function callOf(work: Work): Call {
  const { id: request, account, method, path, headers, body } = work;
  const { streamed, costTokens, idempotencyKey, model } = work;
  const { repeatable, priority } = work.profile;
  return {
    request,
    account,
    method,
    path,
    headers,
    body,
    streamed,
    repeatable,
    priority,
    costTokens,
    idempotencyKey,
    model,
  };
}
