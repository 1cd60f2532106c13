/** Reads a caller's request body into memory, up to a limit. */
import type { IncomingMessage } from "node:http";
import { raise } from "../../internal.js";

/** `limit` is in bytes; throws 1205 for a larger body. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  const declaredLength = Number(request.headers["content-length"] ?? 0);
  if (declaredLength > limit) raise(1205, { limit });
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request) {
    parts.push(part as Buffer);
    size += (part as Buffer).length;
    if (size > limit) raise(1205, { limit });
  }
  return Buffer.concat(parts);
}
