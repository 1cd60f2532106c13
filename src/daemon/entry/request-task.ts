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
import type { ClaimTasks } from "./claim-tasks.js";
import { createClaimedPlacing } from "./claimed-placing.js";
import { poolOfGroup, poolOfProfile } from "./pools.js";
import type { RequestDispatcher } from "./request-dispatcher.js";
import type { RequestEffect, Sessions } from "./sessions.js";
import type { AnswerWriter, Work } from "./work.js";

export interface RequestTaskOptions {
  readonly work: Work;
  readonly writer: AnswerWriter;
  readonly configuration: Configuration;
  readonly directory: BackendDirectory;
  readonly dispatcher: RequestDispatcher;
  readonly sessions: Sessions;
  readonly claims: ClaimTasks;
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
  const tried = new Set<string>();
  const claimed = work.profile.repeatable
    ? undefined
    : createClaimedPlacing(options, () => {
        const backend = place(options, tried);
        if (backend?.session === undefined) return undefined;
        const { name: agent } = backend.vm;
        tried.add(agent);
        const { agentIncarnation } = backend.session;
        return { agent, agentIncarnation };
      });
  const deadlineMs = work.deadlineAtMs - Date.now();
  writer.signal.addEventListener("abort", () => {
    sessions.cancel(work.id);
  });
  sessions
    .accept(callOf(work), deadlineMs, {
      place: (previous) => {
        if (claimed === undefined) dispatcher.place(work);
        else claimed.place(previous);
      },
      onEffect: (effect) => {
        dispatcher.onEffect(work.id, effect);
        if (effect.kind === "finish") {
          claimed?.end();
          resolve(effect);
        }
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
      writer.head(effect.status, effect.headers, effect.isEndMarked);
      return;
    case "discard":
      writer.discard();
      return;
    case "finish":
      if (effect.error === 0) writer.end(effect.outcome === "answered");
      else writer.fail(failure(effect.error), retryAfterMs(effect));
      return;
    case "place":
    case "run-over":
      return;
    default:
      unreachable(effect);
  }
}

/**
 * What was not run may simply be sent again. A claim that was not decided may
 * be repeated under its key, and tells when.
 */
function retryAfterMs(
  effect: Extract<RequestEffect, { kind: "finish" }>,
): number {
  if (effect.outcome !== "not-run") return effect.retryAfterMs;
  return effect.retryAfterMs || RETRY_AFTER_MS;
}

/** Where a call goes that may not be repeated: its claim names the agent. */
function place(
  { work, configuration, directory }: RequestTaskOptions,
  tried: ReadonlySet<string>,
): Backend | undefined {
  const pool = poolOfProfile(work.profile);
  return configuration.groups
    .filter((group) => poolOfGroup(group) === pool)
    .flatMap(({ name }) =>
      directory.all().filter(({ vm }) => vm.group === name),
    )
    .filter(({ vm, session }) => vm.state === "live" && session?.takesWork)
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
