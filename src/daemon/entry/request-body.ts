/** Reads a caller's request body into memory, up to a limit. */
import type { IncomingMessage } from "node:http";
import { failure, raise, type ApricotdeckError } from "../../internal.js";
import { BodyBuffer } from "../../intake/body-buffer.js";
import type { HeldRequest } from "../../intake/request-memory.js";

/**
 * `limit` is in bytes. Rejects with 1205 for a larger body and with 1224 if all
 * requests hold too much; the rest of the body is then discarded. Rejects with
 * 1218 if the connection is closed before the end.
 */
export async function readBody(
  request: IncomingMessage,
  limit: number,
  held: Pick<HeldRequest, "tryHoldBody">,
): Promise<Buffer> {
  const declaredLength = Number(request.headers["content-length"] ?? 0);
  if (declaredLength > limit) raise(1205, { limit });
  if (!held.tryHoldBody(0)) raise(1224);
  const body = BodyBuffer.create(limit);
  await new Promise<void>((resolve, reject) => {
    const refuse = (error: ApricotdeckError): void => {
      // Without a listener, the parts that follow are discarded.
      request.off("data", onData);
      request.resume();
      reject(error);
    };
    const onData = (part: Buffer): void => {
      if (!held.tryHoldBody(body.capacityWith(part.length)))
        refuse(failure(1224));
      else if (!body.append(part)) refuse(failure(1205, { limit }));
    };
    request.on("data", onData);
    request.once("end", resolve);
    request.once("close", () => {
      reject(failure(1218));
    });
  });
  return body.read();
}
