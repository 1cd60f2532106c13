/**
 * One life of a backend server: from its start to its end. A server may start
 * again under the id that it had, at the same address or another one, and then
 * holds nothing of before; what is known of an earlier life tells nothing of
 * the later one. Id and start together name a life.
 */

/**
 * Start of a life, Unix ms by the server's own clock; undefined where the
 * platform doesn't tell, and then only a new id tells a new life.
 */
export type LifeStart = number | undefined;

/** Where a life stands beside another one of the same id. */
export type LifeOrder = "earlier" | "same" | "later";

/**
 * Where the life `seen` stands beside the one that is known. Two lives that
 * can't be told apart count as the same.
 */
export function orderOfLives(known: LifeStart, seen: LifeStart): LifeOrder {
  if (known === undefined || seen === undefined) return "same";
  if (seen === known) return "same";
  return seen > known ? "later" : "earlier";
}
