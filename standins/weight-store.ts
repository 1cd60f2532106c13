/**
 * Simulates the platform's weight store: serves byte ranges of weights at a
 * limited rate, with outages and truncated responses.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { sendJson, startServer, type StandInServer } from "./http.js";

export interface WeightStoreOptions {
  readonly bytesPerExpert: number;
  readonly bytesPerSecond: number;
}

export interface WeightStoreFaults {
  outage: boolean;
  /** Starts an outage after this many complete responses; 0 for never. */
  partsBeforeOutage: number;
  /** Truncates every n-th response to half its length; 0 truncates none. */
  truncateEvery: number;
}

export interface WeightStoreStandIn extends StandInServer {
  readonly faults: WeightStoreFaults;
  readonly servedBytes: () => number;
}

const WEIGHT_PATH = /^\/weights\/[^/]+\/\d+\/\d+$/;
const RANGE_HEADER = /^bytes=(\d+)-(\d+)$/;
/** Requests that would have to wait longer are rejected with 429. */
const MAXIMUM_QUEUE_WAIT_MS = 2_000;

export async function startWeightStore(
  options: WeightStoreOptions,
  port = 0,
): Promise<WeightStoreStandIn> {
  const { bytesPerExpert, bytesPerSecond } = options;
  const faults: WeightStoreFaults = {
    outage: false,
    partsBeforeOutage: 0,
    truncateEvery: 0,
  };
  let linkFreeAtMs = 0;
  let served = 0;
  let answers = 0;
  const server = await startServer(async ({ url, request, response }) => {
    const [, from, to] = RANGE_HEADER.exec(request.headers.range ?? "") ?? [];
    const first = Number(from);
    const length = Math.min(Number(to) + 1, bytesPerExpert) - first;
    if (!WEIGHT_PATH.test(url.pathname) || !(length > 0)) {
      sendJson(response, { error: "unknown weight or byte range" }, 404);
      return;
    }
    if (faults.outage) {
      sendJson(response, { error: "outage" }, 503);
      return;
    }
    const waitMs = Math.max(0, linkFreeAtMs - Date.now());
    if (waitMs > MAXIMUM_QUEUE_WAIT_MS) {
      response.setHeader("retry-after", "1");
      sendJson(response, { error: "rate limit exceeded" }, 429);
      return;
    }
    linkFreeAtMs = Date.now() + waitMs + (length / bytesPerSecond) * 1000;
    await sleep(linkFreeAtMs - Date.now());
    answers += 1;
    response.writeHead(206, { "content-length": length });
    if (faults.truncateEvery > 0 && answers % faults.truncateEvery === 0) {
      response.write(Buffer.alloc(Math.ceil(length / 2)));
      response.destroy();
      return;
    }
    served += length;
    if (faults.partsBeforeOutage > 0) {
      faults.partsBeforeOutage -= 1;
      faults.outage = faults.partsBeforeOutage === 0;
    }
    response.end(Buffer.alloc(length));
  }, port);
  return { ...server, faults, servedBytes: () => served };
}
