/** Reads a caller's body whole, up to a limit. */
import type { IncomingMessage } from "node:http";
import { raise } from "../../internal.js";

/** `limit` in bytes. Throws 1205. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > limit) raise(1205, { limit });
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request) {
    parts.push(part as Buffer);
    size += (part as Buffer).length;
    if (size > limit) raise(1205, { limit });
  }
  return Buffer.concat(parts);
}
