/** Reads a caller's request body into memory, up to a limit. */
import type { IncomingMessage } from "node:http";
import { failure, raise } from "../../internal.js";
import { BodyBuffer } from "../../intake/body-buffer.js";

/**
 * `limit` is in bytes. Rejects with 1205 for a larger body, whose rest is
 * discarded, and with 1218 if the connection is closed before its end.
 */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  const declaredLength = Number(request.headers["content-length"] ?? 0);
  if (declaredLength > limit) raise(1205, { limit });
  const body = BodyBuffer.create(limit);
  await new Promise<void>((resolve, reject) => {
    const onData = (part: Buffer): void => {
      if (body.append(part)) return;
      // Without a listener, the parts that follow are discarded.
      request.off("data", onData);
      request.resume();
      reject(failure(1205, { limit }));
    };
    request.on("data", onData);
    request.once("end", resolve);
    request.once("close", () => {
      reject(failure(1218));
    });
  });
  return body.read();
}
