/** Reads a caller's request body into memory, up to a limit. */
import type { IncomingMessage } from "node:http";
import { failure, raise, type ApricotdeckError } from "../../internal.js";
import { BodyBuffer } from "../../intake/body-buffer.js";
import type { HeldRequest } from "../../intake/request-memory.js";

export interface BodyBounds {
  /** Largest allowed length, bytes. */
  readonly limitBytes: number;
  readonly held: Pick<HeldRequest, "tryHoldBody">;
  /**
   * Time for the whole body, ms; asked only for a body that doesn't arrive
   * together with its head. Without it, the server's own timeout counts.
   */
  readonly timeoutMs?: () => number;
}

/**
 * Rejects with 1205 for a body that is too large, with 1206 for one that takes
 * too long and with 1224 if all requests hold too much; the rest of the body is
 * then discarded. Rejects with 1218 if the connection is closed before the end.
 */
export async function readBody(
  request: IncomingMessage,
  { limitBytes: limit, held, timeoutMs }: BodyBounds,
): Promise<Buffer> {
  const declaredLength = Number(request.headers["content-length"] ?? 0);
  if (declaredLength > limit) raise(1205, { limit });
  const body = BodyBuffer.create(limit);
  let timer: NodeJS.Timeout | undefined;
  let timerStart: NodeJS.Immediate | undefined;
  const ended = new Promise<void>((resolve, reject) => {
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
    if (timeoutMs === undefined) return;
    timerStart = setImmediate(() => {
      if (request.complete) return;
      timer = setTimeout(() => {
        refuse(failure(1206));
      }, timeoutMs());
    });
  });
  try {
    await ended;
    return body.read();
  } finally {
    clearImmediate(timerStart);
    clearTimeout(timer);
  }
}
