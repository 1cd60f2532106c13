/**
 * Identifies proposals and group incarnations. Ballots are totally ordered and
 * unique: the author is one incarnation of an agent, which increments the
 * number.
 */

export interface Ballot {
  readonly number: number;
  /** Agent incarnation that chose the number. */
  readonly author: string;
}

export const lowestBallot: Ballot = { number: 0, author: "" };

export function compareBallots(a: Ballot, b: Ballot): number {
  if (a.number !== b.number) return a.number - b.number;
  if (a.author === b.author) return 0;
  return a.author < b.author ? -1 : 1;
}

export function sameBallot(a: Ballot | null, b: Ballot | null): boolean {
  if (a === null || b === null) return a === b;
  return a.number === b.number && a.author === b.author;
}

export function higherBallot(a: Ballot, b: Ballot): Ballot {
  return compareBallots(a, b) >= 0 ? a : b;
}

export function ballotKey(ballot: Ballot): string {
  return `${ballot.number}@${ballot.author}`;
}
