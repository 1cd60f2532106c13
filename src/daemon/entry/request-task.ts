/** Runs one accepted request from placement to its final outcome. */
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
import { createClaimedPlacement } from "./claimed-placement.js";
import { poolOfGroup, poolOfProfile } from "./pools.js";
import type { RequestDispatcher } from "./request-dispatcher.js";
import type { RequestEffect, Sessions } from "./sessions.js";
import type { AnswerWriter, CallerRequest } from "./caller-request.js";

export interface RequestTaskOptions {
  readonly callerRequest: CallerRequest;
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

/** Resolves with the final outcome; throws 1213 if the entry is leaving. */
export async function runRequest(
  options: RequestTaskOptions,
): Promise<RequestResult> {
  const { callerRequest, writer, sessions, dispatcher } = options;
  const { promise, resolve } = createDeferred<RequestResult>();
  const triedAgents = new Set<string>();
  const claimedPlacement = callerRequest.profile.repeatable
    ? undefined
    : createClaimedPlacement(options, () => {
        const backend = chooseBackend(options, triedAgents);
        if (backend?.session === undefined) return undefined;
        const { name: agent } = backend.vm;
        triedAgents.add(agent);
        const { agentIncarnation } = backend.session;
        return { agent, agentIncarnation };
      });
  const deadlineMs = callerRequest.deadlineAtMs - Date.now();
  writer.signal.addEventListener("abort", () => {
    sessions.cancel(callerRequest.id);
  });
  sessions
    .accept(createCall(callerRequest), deadlineMs, {
      place: (previous) => {
        if (claimedPlacement === undefined) dispatcher.place(callerRequest);
        else claimedPlacement.place(previous);
      },
      onEffect: (effect) => {
        dispatcher.onEffect(callerRequest.id, effect);
        if (effect.kind === "finish") {
          claimedPlacement?.end();
          resolve(effect);
        }
        writeEffect(writer, effect);
      },
    })
    .ifLeft((error) => {
      throw error;
    });
  return promise;
}

function writeEffect(writer: AnswerWriter, effect: RequestEffect): void {
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
 * A request that wasn't run may be sent again, after a default delay if its
 * effect names none. Other outcomes, such as that of an undecided claim, may be
 * repeated only under their key and name their delay themselves.
 */
function retryAfterMs(
  effect: Extract<RequestEffect, { kind: "finish" }>,
): number {
  if (effect.outcome !== "not-run") return effect.retryAfterMs;
  return effect.retryAfterMs || RETRY_AFTER_MS;
}

/** Chooses the backend server named in a non-repeatable call's claim. */
function chooseBackend(
  { callerRequest, configuration, directory }: RequestTaskOptions,
  triedAgents: ReadonlySet<string>,
): Backend | undefined {
  const pool = poolOfProfile(callerRequest.profile);
  return configuration.groups
    .filter((group) => poolOfGroup(group) === pool)
    .flatMap(({ name }) =>
      directory.list().filter(({ vm }) => vm.group === name),
    )
    .filter(({ vm, session }) => vm.state === "live" && session?.takesWork)
    .filter(({ vm }) => !triedAgents.has(vm.name))
    .sort((a, b) => (a.session?.inFlight ?? 0) - (b.session?.inFlight ?? 0))
    .at(0);
}

function createCall(callerRequest: CallerRequest): Call {
  const { id: request, account, method, path, headers, body } = callerRequest;
  const { streamed, costTokens, idempotencyKey, model } = callerRequest;
  const { repeatable, priority } = callerRequest.profile;
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
