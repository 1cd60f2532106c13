/**
 * Selection of the processes that read the configuration stream from the log.
 * With 320 entries and 820 runners, a long poll per process would mean over a
 * thousand open reads and as many answers to every publication. So only two
 * relays in each data centre read the log, and feed the other processes.
 */

/** Two, so that one may fail or be replaced. */
export const RELAYS_PER_DATA_CENTRE = 2;

export interface RelayCandidate {
  readonly name: string;
  readonly role: "entry" | "backend";
  /** host:port for traffic between daemons; empty if there is none. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
}

/**
 * The relays of a data centre, entries before backend servers. Processes with
 * different lists may choose different relays, which only causes extra reads.
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
