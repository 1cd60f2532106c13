/** One task for each accepted request: place, dispatch, stream, finish. */
import {
  createDeferred,
  failure,
  unreachable,
  type Call,
  type Configuration,
  type ErrorNumber,
  type FinalOutcome,
} from "../../internal.js";
import type { Backend, BackendDirectory } from "./backend-directory.js";
import type { RequestEffect, Sessions } from "./sessions.js";
import type { AnswerWriter, Work } from "./work.js";

export interface RequestTaskOptions {
  readonly work: Work;
  readonly writer: AnswerWriter;
  readonly configuration: Configuration;
  readonly directory: BackendDirectory;
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
  const { work, writer, sessions } = options;
  const { promise, resolve } = createDeferred<RequestResult>();
  const tried = new Set<string>();
  const deadlineMs = work.deadlineAtMs - Date.now();
  writer.signal.addEventListener("abort", () => {
    sessions.cancel(work.id);
  });
  sessions
    .accept(callOf(work), deadlineMs, {
      place: () => {
        placeRequest(options, tried);
      },
      onEffect: (effect) => {
        if (effect.kind === "finish") resolve(effect);
        passOn(writer, effect);
      },
    })
    .ifLeft((error) => {
      throw error;
    });
  return promise;
}

/** Runners that refused or broke off aren't tried twice. */
function placeRequest(options: RequestTaskOptions, tried: Set<string>): void {
  const { work, sessions } = options;
  for (;;) {
    const backend = place(options, tried);
    if (backend === undefined) {
      sessions.refuse(work.id, 1209, RETRY_AFTER_MS);
      return;
    }
    const { name } = backend.vm;
    tried.add(name);
    if (sessions.dispatch(work.id, name).isRight()) return;
  }
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

function place(
  { work, configuration, directory }: RequestTaskOptions,
  tried: ReadonlySet<string>,
): Backend | undefined {
  const { target } = work.profile;
  return configuration.groups
    .filter((group) =>
      target.kind === "model"
        ? group.kind === "model" && group.model === target.model
        : group.kind === "service" && group.service === target.service,
    )
    .flatMap((group) => directory.candidates(group.name))
    .filter(({ vm }) => !tried.has(vm.name))
    .sort((a, b) => (a.session?.inFlight ?? 0) - (b.session?.inFlight ?? 0))
    .at(0);
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
