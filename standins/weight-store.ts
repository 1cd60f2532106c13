/**
 * Stand-in of the platform's weight store: parts of weights by byte range, at a
 * limited rate, with outages.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { answerJson, startServer, type StandInServer } from "./http.js";

export interface WeightStoreOptions {
  readonly bytesPerExpert: number;
  readonly bytesPerSecond: number;
}

export interface WeightStoreFaults {
  outage: boolean;
  /** The outage begins by itself after so many more parts; 0 for never. */
  partsBeforeOutage: number;
  /** Every n-th answer is cut in half; 0 cuts none. */
  cutEvery: number;
}

export interface WeightStoreStandIn extends StandInServer {
  readonly faults: WeightStoreFaults;
  readonly servedBytes: () => number;
}

const PATH = /^\/weights\/[^/]+\/\d+\/\d+$/;
const RANGE = /^bytes=(\d+)-(\d+)$/;
/** A part that would have to wait longer is refused. */
const LONGEST_QUEUE_MS = 2_000;

export async function startWeightStore(
  options: WeightStoreOptions,
  port = 0,
): Promise<WeightStoreStandIn> {
  const { bytesPerExpert, bytesPerSecond } = options;
  const faults: WeightStoreFaults = {
    outage: false,
    partsBeforeOutage: 0,
    cutEvery: 0,
  };
  let freeAt = 0;
  let served = 0;
  let answers = 0;
  const server = await startServer(async ({ url, request, response }) => {
    const [, from, to] = RANGE.exec(request.headers.range ?? "") ?? [];
    const first = Number(from);
    const length = Math.min(Number(to) + 1, bytesPerExpert) - first;
    if (!PATH.test(url.pathname) || !(length > 0)) {
      answerJson(response, { error: "no such part" }, 404);
      return;
    }
    if (faults.outage) {
      answerJson(response, { error: "outage" }, 503);
      return;
    }
    const waitMs = Math.max(0, freeAt - Date.now());
    if (waitMs > LONGEST_QUEUE_MS) {
      response.setHeader("retry-after", "1");
      answerJson(response, { error: "over the rate" }, 429);
      return;
    }
    freeAt = Date.now() + waitMs + (length / bytesPerSecond) * 1000;
    await sleep(freeAt - Date.now());
    answers += 1;
    response.writeHead(206, { "content-length": length });
    if (faults.cutEvery > 0 && answers % faults.cutEvery === 0) {
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
