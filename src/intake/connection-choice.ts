/** Which connection makes room for another, without I/O. */

/** How a connection is used. */
export interface ConnectionUse {
  /** Requests on it that haven't been answered completely. */
  readonly openRequests: number;
  /** Whether a request has ever been read from it. */
  readonly hasSentRequest: boolean;
  /** Since when it has had no open request, monotonic, ms. */
  readonly restingSinceMs: number;
}

/**
 * Chooses the connection that is closed when there are too many: first one that
 * has never sent a request, then an idle one, the longest resting first. A
 * client that holds connections without using them so makes room for others.
 * Undefined if all are in use.
 */
export function chooseToClose<T extends ConnectionUse>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  for (const connection of connections) {
    if (connection.openRequests > 0) continue;
    if (chosen === undefined || goesBefore(connection, chosen))
      chosen = connection;
  }
  return chosen;
}

function goesBefore(a: ConnectionUse, b: ConnectionUse): boolean {
  if (a.hasSentRequest !== b.hasSentRequest) return !a.hasSentRequest;
  return a.restingSinceMs < b.restingSinceMs;
}
