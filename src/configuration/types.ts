/**
 * Records of the configuration stream, verdicts on them and the reader's state.
 */
import type { Configuration } from "./schema.js";

/** A record of the platform's append-only log. */
export interface LogRecord {
  readonly offset: number;
  /** Wall clock of the log service, ms since the Unix epoch. */
  readonly appendedAtMs: number;
  readonly data: Uint8Array;
}

/**
 * The envelope that every release reads in the same way; only `configuration`
 * follows the rules of `formatVersion`.
 */
export interface Publication {
  readonly kind: "publication";
  /** Version (log offset) it is based on; null if its author knew none. */
  readonly basedOn: number | null;
  /** If `basedOn` is null: the author read every record before this offset. */
  readonly seenThrough: number;
  readonly formatVersion: number;
  /** Unique per publication; a repeated append has the same nonce. */
  readonly nonce: string;
  readonly author: string;
  readonly configuration: unknown;
}

/** Unparsed content of a publication; `version` is its offset in the log. */
export interface PublishedContent {
  readonly version: number;
  readonly formatVersion: number;
  readonly nonce: string;
  readonly author: string;
  readonly configuration: unknown;
}

/** The latest link of the chain of publications. */
export interface ChainHead {
  readonly version: number;
  readonly nonce: string;
}

/** State of a reader after the record at `asOf`; -1 before the first record. */
export interface Checkpoint {
  readonly kind: "checkpoint";
  readonly asOf: number;
  readonly head: ChainHead | null;
  /** Offset of the latest publication, regardless of its verdict. */
  readonly lastPublication: number | null;
  /** Contents that some release may still have in force, oldest first. */
  readonly contents: readonly PublishedContent[];
}

/** A problem that the operator has to correct. */
export interface ConfigurationProblem {
  readonly path: string;
  readonly found: string;
  readonly expected: string;
}

interface PublicationVerdict {
  readonly offset: number;
  readonly nonce: string;
  readonly author: string;
}

export type Verdict =
  | (PublicationVerdict & { readonly kind: "accepted"; readonly hash: string })
  /** Links the chain, but this release doesn't understand the format. */
  | (PublicationVerdict & {
      readonly kind: "not-understood";
      readonly formatVersion: number;
    })
  | (PublicationVerdict & {
      readonly kind: "superseded";
      readonly basedOn: number | null;
      readonly latest: number | null;
    })
  /** A repeated append of the latest link. */
  | (PublicationVerdict & { readonly kind: "duplicate"; readonly of: number })
  | (PublicationVerdict & {
      readonly kind: "invalid";
      readonly problems: readonly ConfigurationProblem[];
    })
  | {
      readonly kind: "unreadable";
      readonly offset: number;
      readonly reason: string;
    }
  /** A checkpoint that contradicts this reader's state. */
  | {
      readonly kind: "checkpoint-disagrees";
      readonly offset: number;
      readonly asOf: number;
    };

/** The configuration that is in force in this process. */
export interface ConfigurationInForce {
  readonly version: number;
  readonly hash: string;
  readonly author: string;
  readonly configuration: Configuration;
}

export type Chain =
  | {
      readonly kind: "known";
      readonly head: ChainHead | null;
      readonly lastPublication: number | null;
      readonly contents: readonly PublishedContent[];
    }
  /** Earlier records are missing: no verdicts until a usable checkpoint. */
  | {
      readonly kind: "unknown";
      /** `pending` has every record from this offset on. */
      readonly heldFrom: number;
      readonly pending: readonly LogRecord[];
    };

export interface ConfigurationState {
  /** First offset that hasn't been applied. */
  readonly nextOffset: number;
  readonly chain: Chain;
  readonly inForce: ConfigurationInForce | null;
  /** Latest link in a format unknown to this release, unless replaced since. */
  readonly notUnderstood: PublishedContent | null;
  /** Log time of the latest accepted publication or usable checkpoint. */
  readonly anchoredAtMs: number | null;
}

export interface ApplyResult {
  readonly state: ConfigurationState;
  /** In log order; a checkpoint may add verdicts on earlier records. */
  readonly verdicts: readonly Verdict[];
}
