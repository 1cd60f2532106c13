/**
 * Incarnations of a backend server. An incarnation lasts from a start of the
 * server to its end. A server may restart under the same id, at the same or
 * another address, and keeps no state; what is known of an earlier incarnation
 * doesn't apply to a later one. Id and start time together identify an
 * incarnation.
 */

/**
 * Start time of an incarnation, Unix ms by the server's own clock. Undefined if
 * the platform doesn't report it; then only a new id shows a new incarnation.
 */
export type IncarnationStart = number | undefined;

/** How an incarnation relates in time to another one of the same id. */
export type IncarnationOrder = "earlier" | "same" | "later";

/**
 * Whether the incarnation `seen` is earlier or later than the known one.
 * Incarnations that can't be distinguished count as the same.
 */
export function compareIncarnations(
  known: IncarnationStart,
  seen: IncarnationStart,
): IncarnationOrder {
  if (known === undefined || seen === undefined) return "same";
  if (seen === known) return "same";
  return seen > known ? "later" : "earlier";
}
