/**
 * Who reads the configuration stream from the log. At 320 nodes and 820 runners
 * a long poll of each would be a thousand standing reads and a thousand answers
 * to every publication; two readers in each data centre hand the records on.
 */

/** Readers of the log in one data centre: one may fail or be replaced. */
export const RELAYS_PER_DATA_CENTRE = 2;

export interface RelayCandidate {
  readonly name: string;
  readonly role: "entry" | "backend";
  /** host:port between the daemons; empty when there is none. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
}

/**
 * The relays of a data centre, entries before backend servers. Processes that
 * see different lists may choose differently; that costs reads, nothing else.
 */
export function chooseRelays(
  candidates: readonly RelayCandidate[],
  dataCentre: string,
): readonly RelayCandidate[] {
  return candidates
    .filter(
      (candidate) =>
        candidate.dataCentre === dataCentre &&
        candidate.state === "live" &&
        candidate.address !== "",
    )
    .sort(compareCandidates)
    .slice(0, RELAYS_PER_DATA_CENTRE);
}

function compareCandidates(a: RelayCandidate, b: RelayCandidate): number {
  if (a.role !== b.role) return a.role === "entry" ? -1 : 1;
  return a.name < b.name ? -1 : 1;
}
