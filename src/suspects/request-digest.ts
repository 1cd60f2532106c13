/** Names a request by what makes it the same when it comes again. */
import { createHmac } from "node:crypto";

export interface RequestContent {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly account: string | undefined;
  readonly body: Buffer;
}

/** 128 bits: nobody's request is taken for another one's. */
const DIGEST_BYTES = 16;

/**
 * The same at all entries, and nothing of the request can be read from it. Two
 * accounts that send the same have two digests.
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
