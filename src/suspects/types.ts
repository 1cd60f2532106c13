/**
 * Types of suspects: requests that may crash backend servers. A request that
 * crashes every server it runs on is retried at any entry and takes down one
 * server after the other, with all other requests that run there.
 */

/** A run that was lost in a crash of its backend server. */
export interface CrashedRun {
  /** Id of the backend server. */
  readonly runner: string;
  /** When the run was sent and when it was lost, Unix ms. */
  readonly sentAtMs: number;
  readonly lostAtMs: number;
}

/** Runs of one request that were lost in crashes. */
export interface Suspicion {
  /** Digest of the request. */
  readonly digest: string;
  readonly runs: readonly CrashedRun[];
}

/**
 * The request completed on a backend server, so earlier crashes aren't
 * attributed to it.
 */
export interface Acquittal {
  readonly digest: string;
  /** Unix ms. */
  readonly atMs: number;
}

/** A lost run of a request whose prompt consists of several parts. */
export interface LostPromptRun extends CrashedRun {
  /** Digest of the request. */
  readonly request: string;
  /** Digests of the parts that other requests may share. */
  readonly parts: readonly string[];
}

/** A part that was seen to be harmless: a run with it has survived. */
export interface HarmlessPart {
  /** Digest of the part. */
  readonly part: string;
  /** Unix ms. */
  readonly atMs: number;
}

/** Observations of one entry about parts of prompts. */
export interface PartRecord {
  readonly lostRuns: readonly LostPromptRun[];
  readonly harmlessParts: readonly HarmlessPart[];
}

/** Observations of one entry about whole requests. */
export interface SuspectRecord {
  readonly suspicions: readonly Suspicion[];
  readonly acquittals: readonly Acquittal[];
}

/** What an entry publishes. */
export interface EntryRecord extends SuspectRecord, PartRecord {}
