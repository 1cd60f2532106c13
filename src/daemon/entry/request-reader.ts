/** Reads a caller's request and resolves its account, profile and model. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { v7 as uuidV7 } from "uuid";
import * as z from "zod";
import {
  raise,
  type ClientAccount,
  type Configuration,
  type Profile,
} from "../../internal.js";
import type { HeldRequest } from "../../intake/request-memory.js";
import type { Header } from "../../wire/generated/session.js";
import type { EntrySettings } from "../settings.js";
import { readBody } from "./request-body.js";
import type { CallerRequest } from "./caller-request.js";

export type CallerLimits = EntrySettings["limits"];

export const PROFILE_HEADER = "apricotdeck-profile";
export const IDEMPOTENCY_HEADER = "idempotency-key";
const ADAPTER_HEADER = "x-model-adapter";
const VERSION_HEADER = "x-model-version";
const SERVICE_PREFIX = "/services/";
/** Estimate, also applied to the characters of a prompt. */
const BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 256;
const MAXIMUM_OUTPUT_TOKENS = 1_000_000;

const completionPaths: ReadonlySet<string> = new Set([
  "/v1/chat/completions",
  "/v1/completions",
]);

/** Fields the entry uses; all others are forwarded to the engine unchecked. */
const completionSchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.int().min(1).max(MAXIMUM_OUTPUT_TOKENS).nullish(),
  max_completion_tokens: z.int().min(1).max(MAXIMUM_OUTPUT_TOKENS).nullish(),
  prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
  messages: z
    .array(z.looseObject({ content: z.unknown() }))
    .min(1)
    .optional(),
});

type Completion = z.infer<typeof completionSchema>;

/** Throws 1201 to 1208, 1218 or 1224 for a request that can't be served. */
export async function readCallerRequest(
  request: IncomingMessage,
  configuration: Configuration,
  limits: CallerLimits,
  held: HeldRequest,
): Promise<CallerRequest> {
  const account = authenticate(request, configuration);
  const path = pathOf(request);
  const isCompletion = completionPaths.has(path);
  if (!isCompletion && !path.startsWith(SERVICE_PREFIX)) {
    raise(1207, { path: path.slice(0, 100) });
  }
  if (isCompletion && request.method !== "POST") raise(1208);
  const profile = resolveProfile(request, configuration, account);
  const body = await readBody(request, {
    limitBytes: limits.bodyBytes,
    held,
  });
  const common = readCommonFields(request, account, profile, body);
  return isCompletion
    ? createCompletionRequest(common, path)
    : createServiceRequest(common, request.url ?? path);
}

export function authenticate(
  request: IncomingMessage,
  { accounts }: Configuration,
): ClientAccount {
  const [scheme = "", credential = ""] =
    request.headers.authorization?.split(" ") ?? [];
  if (scheme.toLowerCase() !== "bearer" || credential === "") raise(1202);
  const hash = createHash("sha256").update(credential).digest("hex");
  const account = accounts.find(({ credentialHashes }) =>
    credentialHashes.includes(hash),
  );
  return account ?? raise(1202);
}

export function isProfileAllowed(
  profile: Profile,
  account: ClientAccount,
): boolean {
  return profile.accounts?.includes(account.name) ?? true;
}

export function pathOf({ url }: IncomingMessage): string {
  return url?.split("?", 1).at(0) ?? "/";
}

type ModelTarget = Extract<Profile["target"], { kind: "model" }>;

type CommonFields = Omit<
  CallerRequest,
  "path" | "streamed" | "model" | "prompt" | "costTokens"
>;

function readCommonFields(
  request: IncomingMessage,
  account: ClientAccount,
  profile: Profile,
  body: Buffer,
): CommonFields {
  const acceptedAtMs = Date.now();
  return {
    id: uuidV7(),
    account: account.name,
    profile,
    method: request.method ?? "GET",
    headers: selectForwardedHeaders(request),
    body,
    acceptedAtMs,
    deadlineAtMs: acceptedAtMs + profile.deadlineMs,
    idempotencyKey: singleHeader(request, IDEMPOTENCY_HEADER),
  };
}

function createCompletionRequest(
  common: CommonFields,
  path: string,
): CallerRequest {
  const { target } = common.profile;
  const completion = parseCompletion(common.body);
  if (target.kind !== "model" || completion.model !== target.model) {
    raise(1204, { model: completion.model.slice(0, 100) });
  }
  const outputTokens =
    completion.max_completion_tokens ??
    completion.max_tokens ??
    DEFAULT_OUTPUT_TOKENS;
  const prompt = readPrompt(completion);
  return {
    ...common,
    headers: [...common.headers, ...variantHeaders(target)],
    path,
    model: completion.model,
    streamed: completion.stream === true,
    prompt,
    costTokens: Math.ceil(prompt.length / BYTES_PER_TOKEN) + outputTokens,
  };
}

/**
 * Adapter and version come from the profile; the caller can't override them.
 */
function variantHeaders({ adapter, version }: ModelTarget): Header[] {
  const header = (name: string, value: string | undefined): Header[] =>
    value === undefined ? [] : [{ name, value }];
  return [
    ...header(ADAPTER_HEADER, adapter),
    ...header(VERSION_HEADER, version),
  ];
}

function createServiceRequest(
  common: CommonFields,
  url: string,
): CallerRequest {
  const { target } = common.profile;
  const [service = "", ...rest] = url.slice(SERVICE_PREFIX.length).split("/");
  if (target.kind !== "service" || target.service !== service) {
    raise(1207, { path: url.slice(0, 100) });
  }
  const path = `/${rest.join("/")}`;
  const costTokens = Math.ceil(common.body.length / BYTES_PER_TOKEN) + 1;
  const serviceFields = { streamed: false, model: "", prompt: "" };
  return { ...common, ...serviceFields, path, costTokens };
}

function parseCompletion(body: Buffer): Completion {
  const result = completionSchema.safeParse(parseJson(body));
  if (!result.success) {
    const issue = result.error.issues.at(0);
    const field = issue?.path.join(".") ?? "";
    return raise(1201, { field, expected: issue?.message ?? "" });
  }
  const { prompt, messages } = result.data;
  if (prompt === undefined && messages === undefined) {
    raise(1201, { field: "messages", expected: "messages or prompt" });
  }
  return result.data;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch (error) {
    return raise(1201, { field: "(body)", expected: "JSON" }, error);
  }
}

function readPrompt({ prompt, messages }: Completion): string {
  if (typeof prompt === "string") return prompt;
  if (prompt !== undefined) return JSON.stringify(prompt);
  return (messages ?? [])
    .map(({ content }) =>
      typeof content === "string" ? content : JSON.stringify(content ?? ""),
    )
    .join("\n");
}

function resolveProfile(
  request: IncomingMessage,
  { profiles }: Configuration,
  account: ClientAccount,
): Profile {
  const requestedName = singleHeader(request, PROFILE_HEADER);
  const profileName =
    requestedName === "" ? account.defaultProfile : requestedName;
  const profile = profiles.find(({ name }) => name === profileName);
  if (profile !== undefined && isProfileAllowed(profile, account))
    return profile;
  return raise(1203, { profile: (profileName ?? "").slice(0, 100) });
}

/** Forwards what the runner needs: no credentials or hop-by-hop headers. */
function selectForwardedHeaders({ headers }: IncomingMessage): Header[] {
  const forwardedNames = ["content-type", "accept", "accept-language"] as const;
  return forwardedNames.flatMap((name) => {
    const value = headers[name];
    return value === undefined ? [] : [{ name, value }];
  });
}

function singleHeader({ headers }: IncomingMessage, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value.trim() : "";
}
