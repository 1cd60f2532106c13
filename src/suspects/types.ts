/**
 * Types of suspects: requests that may be what crashes backend servers. A
 * request that crashes whoever runs it comes again, at any entry, and takes one
 * server after the other, with everything else that runs there.
 */

/** A run that the crash of its backend server ended. */
export interface CrashedRun {
  /** Id of the backend server. */
  readonly runner: string;
  /** When the run was sent, and when it was lost, Unix ms. */
  readonly sentAtMs: number;
  readonly lostAtMs: number;
}

/** Runs of one request that crashes ended. */
export interface Suspicion {
  /** Digest of the request. */
  readonly digest: string;
  readonly runs: readonly CrashedRun[];
}

/** The request came to its end at a backend server. */
export interface Acquittal {
  readonly digest: string;
  /** Unix ms. */
  readonly atMs: number;
}

/** What one entry has seen. */
export interface SuspectRecord {
  readonly suspicions: readonly Suspicion[];
  readonly acquittals: readonly Acquittal[];
}
