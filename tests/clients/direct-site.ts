/** An entry process of the direct path, with its store and its runners. */
import { request as sendRequest } from "node:http";
import { headerNames, paths, topics } from "../../platform/names.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import {
  SigningRunner,
  answerWith,
  type Behaviour,
} from "../../standins/signing-runner.js";
import {
  CREDENTIAL,
  HOST,
  createConfiguration,
} from "../platform/entry-site.js";
import {
  MeasuredProcess,
  type ProcessLimits,
} from "../support/measured-process.js";
import {
  PLATFORM_PROGRAM,
  SETTINGS_VARIABLE,
  freeAddress,
} from "../support/platform-program.js";
import { pause } from "../support/wait.js";
import {
  BODY_LIMIT_BYTES,
  HEAD_LIMIT_BYTES,
  type HeadLines,
} from "./behaviours.js";
import { tryAgain } from "./ordinary-client.js";

const POLL_INTERVAL_MS = 50;
export const ORDINARY_BODY = "ordinary";

/** Path whose requests the crowd's runner never answers. */
export const HELD_PATH = "/often/held";
/** Path whose requests the crowd's runner answers with their body's length. */
export const COUNTED_PATH = "/often/counted";

export interface DirectSite extends AsyncDisposable {
  readonly process: MeasuredProcess;
  readonly callers: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly headLines: (path: string) => HeadLines;
  /** Body of the answer to an ordinary request, which is tried a few times. */
  readonly ordinaryAnswer: () => Promise<string>;
  readonly readinessStatus: () => Promise<number>;
}

const crowdRunner: Behaviour = ({ received, response, signatureHeaders }) => {
  if (received.target === HELD_PATH) return;
  response.writeHead(200, signatureHeaders).end(String(received.body.length));
};

/** `memoryMb`: memory of the entry's machine. */
export async function startDirectSite(
  memoryMb: number,
  limits: ProcessLimits,
): Promise<DirectSite> {
  const store = await KeyedStore.create();
  const runners = [
    await SigningRunner.create("crowd", crowdRunner),
    await SigningRunner.create("ordinary", answerWith(ORDINARY_BODY)),
  ];
  store.put(topics.operator, topics.configurationKey, configuration());
  for (const runner of runners) register(store, runner);
  const callers = await freeAddress();
  const readiness = await freeAddress();
  const metrics = await freeAddress();
  const process = MeasuredProcess.start({
    program: PLATFORM_PROGRAM,
    settingsVariable: SETTINGS_VARIABLE,
    settings: {
      role: "entry",
      name: "entry-1",
      dataCentre: "here",
      store: { address: store.address },
      callers,
      readiness,
      metrics,
      memoryMb,
    },
    limits,
  });
  const readinessStatus = (): Promise<number> =>
    statusOf(`http://${readiness}${paths.readiness}`);
  while ((await readinessStatus()) !== 200) await pause(POLL_INTERVAL_MS);
  return {
    process,
    callers,
    readiness,
    metrics,
    headLines: (path) => (id) => [
      `POST ${path} HTTP/1.1`,
      `host: ${HOST}`,
      `${headerNames.attemptId}: ${id}`,
      `${headerNames.credential}: ${CREDENTIAL}`,
    ],
    ordinaryAnswer: () => ordinaryAnswer(callers),
    readinessStatus,
    async [Symbol.asyncDispose]() {
      await process[Symbol.asyncDispose]();
      for (const runner of runners) await runner[Symbol.asyncDispose]();
      await store[Symbol.asyncDispose]();
    },
  };
}

function configuration(): unknown {
  const route = {
    hostname: HOST,
    route_kind: "idempotent",
    timeout_ms: 6000,
    slo_ms: 400,
    max_attempts: 2,
  };
  return createConfiguration({
    routes: [
      { ...route, name: "often", path_prefix: "/often/", backend: "crowd" },
      {
        ...route,
        name: "ordinary",
        path_prefix: "/ordinary/",
        backend: "ordinary",
      },
    ],
    services: [
      { name: "crowd", max_conns: 100 },
      { name: "ordinary", max_conns: 10 },
    ],
    limits: {
      max_header_bytes: HEAD_LIMIT_BYTES,
      max_body_bytes: BODY_LIMIT_BYTES,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
  });
}

function register(store: KeyedStore, { id, address }: SigningRunner): void {
  store.put(topics.register, id, {
    backend: id,
    address,
    zone: "here",
    version: "v1",
    slots: 64,
    state: "ready",
    cold_left_ms: 0,
    sequence: 1,
  });
}

/** Status of a GET; 0 if there is no answer. */
export async function statusOf(url: string): Promise<number> {
  try {
    const response = await fetch(url, { headers: { connection: "close" } });
    await response.arrayBuffer();
    return response.status;
  } catch {
    return 0;
  }
}

async function ordinaryAnswer(callers: string): Promise<string> {
  const answer = await tryAgain((tries) =>
    callOnce(callers, `ordinary-${tries}`),
  );
  return answer ?? "no answer";
}

function callOnce(callers: string, id: string): Promise<string | undefined> {
  const [host, port] = callers.split(":");
  return new Promise((resolve) => {
    const request = sendRequest({
      host,
      port,
      path: "/ordinary/request",
      method: "POST",
      agent: false,
      timeout: 3000,
      headers: {
        host: HOST,
        [headerNames.attemptId]: id,
        [headerNames.credential]: CREDENTIAL,
        [headerNames.deadlineMs]: "3000",
      },
    });
    request.once("timeout", () => {
      request.destroy();
    });
    request.on("error", () => {
      resolve(undefined);
    });
    request.once("response", (response) => {
      let body = "";
      response.on("data", (data: Buffer) => {
        body += data.toString();
      });
      response.on("error", () => undefined);
      response.once("close", () => {
        const isAnswered = response.statusCode === 200 && response.complete;
        resolve(isAnswered ? body : undefined);
      });
    });
    request.end("small");
  });
}
