/**
 * Computes digests that identify a request when it is sent again, and a part of
 * a prompt in whatever request it occurs.
 */
import { createHash, createHmac } from "node:crypto";

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

/**
 * Digests of the prompt's parts, in order. They are the same for all accounts,
 * since a part crashes a server whoever sends it.
 */
export function partDigestsOf(
  model: string | undefined,
  partIds: readonly string[],
): readonly string[] {
  return partIds.map((id) =>
    createHash("sha256")
      .update(JSON.stringify([model ?? "", id]))
      .digest()
      .subarray(0, DIGEST_BYTES)
      .toString("base64url"),
  );
}
