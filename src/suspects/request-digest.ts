/** Computes a digest that identifies a request when it is sent again. */
import { createHmac } from "node:crypto";

export interface RequestContent {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly account: string | undefined;
  readonly body: Buffer;
}

/** 128 bits make collisions between requests practically impossible. */
const DIGEST_BYTES = 16;

/**
 * The digest is the same at all entries and reveals nothing of the request.
 * Equal requests of two accounts have different digests.
 */
export function digestOf(content: RequestContent): string {
  const { method, target, account, body } = content;
  return createHmac("sha256", account ?? "")
    .update(
      `${account === undefined ? "public" : "account"} ${method} ${target}\n`,
    )
    .update(body)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString("base64url");
}
