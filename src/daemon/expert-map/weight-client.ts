/**
 * Client for the platform's weight store:
 * `GET /weights/{model}/{layer}/{expert}` with a byte range. The store answers
 * 503 during an outage and 429 above its rate limit, both with a Retry-After
 * header if it knows the delay.
 */
import { request } from "undici";
import {
  failure,
  raise,
  toFailure,
  type ApricotdeckError,
  type WeightPart,
} from "../../internal.js";

const READ_TIMEOUT_MS = 10_000;
const HTTP_PARTIAL_CONTENT = 206;
const MS_PER_SECOND = 1_000;

/** Throws 1608, with `retryAfterMs` in its detail if the store answered. */
export async function readWeights(
  store: string,
  model: string,
  { weight, offset, length }: WeightPart,
): Promise<Buffer> {
  const path = `${model}/${weight.layer}/${weight.expert}`;
  const range = `bytes=${offset}-${offset + length - 1}`;
  try {
    const response = await request(`${store}/weights/${path}`, {
      headers: { range },
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    const data = Buffer.from(await response.body.arrayBuffer());
    const { statusCode, headers } = response;
    if (statusCode === HTTP_PARTIAL_CONTENT && data.length === length)
      return data;
    const retryAfterMs = Number(headers["retry-after"] ?? 0) * MS_PER_SECOND;
    return raise(1608, { status: statusCode, retryAfterMs });
  } catch (error) {
    throw toFailure(error, 1608);
  }
}

/** Delay that the store asked for, in ms; 0 if it named none. */
export function retryAfterMsOf(error: ApricotdeckError): number {
  const { retryAfterMs } = error.detail;
  const isStoreFailure = error.number === failure(1608).number;
  return isStoreFailure && typeof retryAfterMs === "number" ? retryAfterMs : 0;
}
