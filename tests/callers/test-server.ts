/** A caller server that answers every request that passes its checks. */
import {
  credentialOf,
  MODEL,
  siteConfiguration,
} from "../../demo/configurations.js";
import type {
  AnswerWriter,
  CallerRequest,
} from "../../src/daemon/entry/caller-request.js";
import { CallerConnections } from "../../src/daemon/entry/caller-connections.js";
import { createCallerServer } from "../../src/daemon/entry/caller-server.js";
import { listen, type ListeningServer } from "../../src/daemon/listening.js";
import {
  parseSettings,
  type EntrySettings,
} from "../../src/daemon/settings.js";
import { ConnectionGuard } from "../../src/intake/connection-guard.js";
import { RequestMemory } from "../../src/intake/request-memory.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import { pause } from "../support/wait.js";

type Limits = EntrySettings["limits"];

const MEMORY_BYTES = 64 * 1024 * 1024;

export const credential = credentialOf("dyfrwr", 0);
export const authorization = `authorization: Bearer ${credential}`;

export function createLimits(changes: Partial<Limits>): Limits {
  const settings = parseSettings(
    JSON.stringify({
      role: "entry",
      name: "entry",
      dataCentre: "lac",
      platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:1" },
      limits: { headBytes: 2048, bodyBytes: 2048, receiveMs: 300, ...changes },
    }),
    "test",
  ) as EntrySettings;
  return settings.limits;
}

export interface TestServer extends AsyncDisposable {
  readonly address: string;
  /** Requests that passed all checks. */
  readonly served: CallerRequest[];
  /** Refuses all further requests, as an entry does that shuts down. */
  readonly leave: () => void;
}

/** `workMs`: time until a request is answered. */
export async function startServer(
  changes: Partial<Limits> = {},
  workMs = 0,
): Promise<TestServer> {
  const served: CallerRequest[] = [];
  let isLeaving = false;
  const baseConfiguration = siteConfiguration("dyfrwr", 4);
  const variant = { adapter: "welsh", version: "v2" };
  const target = { kind: "model", model: MODEL, ...variant } as const;
  const welshProfile = {
    ...baseConfiguration.profiles[0],
    name: "welsh",
    target,
  };
  const configuration = {
    ...baseConfiguration,
    profiles: [...baseConfiguration.profiles, welshProfile],
  };
  const limits = createLimits(changes);
  const sinks = { emit: ignoreEvents, measurements: ignoreMeasurements };
  const server = createCallerServer({
    connections: CallerConnections.create(),
    limits,
    memory: RequestMemory.create({
      memoryBytes: MEMORY_BYTES,
      share: 1,
      copies: 1,
      ...sinks,
    }),
    guard: ConnectionGuard.create({
      listener: "callers",
      maximumConnections: () => limits.connections,
      maximumOpenRequests: limits.openRequestsPerConnection,
      now: () => performance.now(),
      ...sinks,
    }),
    configuration: () => configuration,
    isLeaving: () => isLeaving,
    serve: async (callerRequest: CallerRequest, writer: AnswerWriter) => {
      served.push(callerRequest);
      if (workMs > 0) await pause(workMs);
      const contentType = { name: "content-type", value: "application/json" };
      writer.head(200, [contentType], true);
      writer.piece(Buffer.from("{}"));
      writer.end(true);
    },
  });
  const listening: ListeningServer = await listen(server, {
    host: "127.0.0.1",
    port: 0,
  });
  return {
    address: listening.address,
    served,
    leave: () => {
      isLeaving = true;
    },
    [Symbol.asyncDispose]: () => listening[Symbol.asyncDispose](),
  };
}

export function completion(
  body: string,
  headers: readonly string[] = [],
): string {
  return [
    "POST /v1/completions HTTP/1.1",
    "host: entry",
    "connection: close",
    authorization,
    `content-length: ${Buffer.byteLength(body)}`,
    ...headers,
    "",
    body,
  ].join("\r\n");
}

export const validBody = JSON.stringify({ model: MODEL, prompt: "note" });
