/** One task for each accepted request: place, dispatch, stream, finish. */
import { randomUUID } from "node:crypto";
import { crc32 } from "node:zlib";
import {
  createDeferred,
  failure,
  isErrorNumber,
  toFailure,
  type ApricotdeckError,
  type Configuration,
  type Emit,
  type ErrorNumber,
} from "../../internal.js";
import type { Dispatch } from "../../wire/generated/session.js";
import type { AttemptFrame } from "./agent-session.js";
import type { Backend, BackendDirectory } from "./backend-directory.js";
import type { ClaimTasks } from "./claim-tasks.js";
import { runClaimed } from "./claimed-request.js";
import type { AnswerWriter, Work } from "./work.js";

export interface RequestTaskOptions {
  readonly work: Work;
  readonly writer: AnswerWriter;
  readonly configuration: Configuration;
  readonly directory: BackendDirectory;
  readonly emit: Emit;
  readonly claims: ClaimTasks;
}

export type RequestOutcome = "answered" | "not-run" | "unknown" | "broken-off";

export interface RequestResult {
  readonly outcome: RequestOutcome;
  readonly error: ErrorNumber | 0;
  readonly pieces: number;
}

const MAXIMUM_PLACEMENTS = 3;
const RETRY_AFTER_MS = 1000;

type AttemptEnd =
  | { readonly kind: "whole"; readonly pieces: number }
  | {
      readonly kind: "failed";
      readonly error: ApricotdeckError;
      readonly pieces: number;
    };

export async function runRequest(
  options: RequestTaskOptions,
): Promise<RequestResult> {
  return options.work.profile.repeatable
    ? runRepeatable(options)
    : runOnce(options);
}

async function runRepeatable(
  options: RequestTaskOptions,
): Promise<RequestResult> {
  let last = failure(1209);
  const tried = new Set<string>();
  for (let placement = 0; placement < MAXIMUM_PLACEMENTS; placement += 1) {
    const backend = place(options, tried);
    if (backend === undefined) break;
    tried.add(backend.vm.name);
    const end = await runAttempt(options, backend);
    if (end.kind === "whole") return finish(options, end);
    last = end.error;
    if (last.entry.outcome !== "not-run") break;
  }
  return refuse(options, last);
}

/** A request that may not be repeated runs under its claim only. */
function runOnce(options: RequestTaskOptions): Promise<RequestResult> {
  const { work, writer, claims, directory } = options;
  const tried = new Set<string>();
  return runClaimed<RequestResult>({
    work,
    claims,
    signal: writer.signal,
    choose: () => {
      const backend = place(options, tried);
      if (backend?.session === undefined) return undefined;
      const { name: agent } = backend.vm;
      tried.add(agent);
      return { agent, agentIncarnation: backend.session.agentIncarnation };
    },
    dispatch: async ({ agent, agentIncarnation, attempt }) => {
      const backend = directory.find(agent);
      const session = backend?.session;
      if (
        backend === undefined ||
        session?.agentIncarnation !== agentIncarnation
      ) {
        return { kind: "refused", error: failure(1401) };
      }
      const end = await runAttempt(options, backend, attempt);
      if (end.kind === "whole") {
        return { kind: "done", result: finish(options, end) };
      }
      const { error } = end;
      if (error.entry.outcome === "not-run") return { kind: "refused", error };
      return { kind: "done", result: refuse(options, error) };
    },
    attach: () => Promise.resolve(refuse(options, failure(1309))),
    refuse: (error) => refuse(options, error),
  });
}

function finish(
  { writer }: RequestTaskOptions,
  { pieces }: Extract<AttemptEnd, { readonly kind: "whole" }>,
): RequestResult {
  writer.end();
  return { outcome: "answered", error: 0, pieces };
}

function refuse(
  { writer }: RequestTaskOptions,
  error: ApricotdeckError,
): RequestResult {
  const { outcome, status } = error.entry;
  const comesBack = outcome === "not-run" || status === 503;
  writer.fail(error, comesBack ? RETRY_AFTER_MS : 0);
  return {
    outcome: outcome === "none" ? "unknown" : outcome,
    error: error.number,
    pieces: 0,
  };
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

async function runAttempt(
  { work, writer, emit }: RequestTaskOptions,
  { vm, session }: Backend,
  attempt: string = randomUUID(),
): Promise<AttemptEnd> {
  const { promise, resolve } = createDeferred<AttemptEnd>();
  let pieces = 0;
  let checksum = 0;
  let started = false;
  const fail = (number: ErrorNumber): void => {
    resolve({ kind: "failed", error: failure(number), pieces });
  };
  const onFrame = (frame: AttemptFrame | { $case: "lost" }): void => {
    switch (frame.$case) {
      case "started":
        started = true;
        break;
      case "head":
        writer.head(frame.value.status, frame.value.headers);
        break;
      case "piece":
        if (frame.value.index !== pieces) {
          emit(125, { attempt, reason: "index" });
          return;
        }
        pieces += 1;
        checksum = crc32(frame.value.data, checksum);
        writer.piece(frame.value.data);
        break;
      case "end":
        if (frame.value.count === pieces && frame.value.checksum === checksum) {
          resolve({ kind: "whole", pieces });
        } else fail(1210);
        break;
      case "refused":
      case "broken": {
        const { error } = frame.value;
        fail(isErrorNumber(error) ? error : 1215);
        break;
      }
      case "lost":
        fail(started ? 1210 : 1211);
    }
  };
  writer.signal.addEventListener("abort", () => {
    session?.cancel(attempt);
    fail(1210);
  });
  const timer = setTimeout(() => {
    session?.cancel(attempt);
    fail(1212);
  }, work.deadlineAtMs - Date.now());
  emit(122, { request: work.id, attempt, runner: vm.name });
  session?.dispatch(dispatchOf(work, attempt), onFrame);
  const end = await promise;
  clearTimeout(timer);
  session?.forget(attempt);
  return end;
}

function dispatchOf(work: Work, attempt: string): Dispatch {
  return {
    attempt,
    request: work.id,
    method: work.method,
    path: work.path,
    headers: work.headers,
    body: work.body,
    streamed: work.streamed,
    repeatable: work.profile.repeatable,
    priority: work.profile.priority,
    deadlineMs: Math.max(1, work.deadlineAtMs - Date.now()),
    costTokens: work.costTokens,
    sequence: 0,
    fromIndex: 0,
    resumeOf: "",
    account: work.account,
    idempotencyKey: work.idempotencyKey,
    model: work.model,
  };
}

/** What the task itself threw: nobody knows how far the work went. */
export function unexpectedResult(error: unknown): RequestResult {
  const { number } = toFailure(error, 1215);
  return { outcome: "unknown", error: number, pieces: 0 };
}
