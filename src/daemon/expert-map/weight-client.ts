/**
 * The platform's weight store: `GET /weights/{model}/{layer}/{expert}` with a
 * range of bytes. It answers 503 in an outage and 429 over its rate, both with
 * a time to come back where it knows one.
 */
import { request } from "undici";
import {
  failure,
  raise,
  toFailure,
  type ApricotdeckError,
  type WeightPart,
} from "../../internal.js";

const TIMEOUT_MS = 10_000;
const PARTIAL_CONTENT = 206;
const MS_PER_SECOND = 1_000;

/** Throws 1608, with `retryAfterMs` in its detail. */
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
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const data = Buffer.from(await response.body.arrayBuffer());
    const { statusCode, headers } = response;
    if (statusCode === PARTIAL_CONTENT && data.length === length) return data;
    const retryAfterMs = Number(headers["retry-after"] ?? 0) * MS_PER_SECOND;
    return raise(1608, { status: statusCode, retryAfterMs });
  } catch (error) {
    throw toFailure(error, 1608);
  }
}

/** When the store asked to come back; 0 when it didn't say. */
export function retryAfterOf(error: ApricotdeckError): number {
  const { retryAfterMs } = error.detail;
  const known = error.number === failure(1608).number;
  return known && typeof retryAfterMs === "number" ? retryAfterMs : 0;
}
