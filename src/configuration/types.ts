/** Records of the configuration stream and what every reader makes of them. */
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
  /** Version (log offset) it was made from; null when none was known. */
  readonly basedOn: number | null;
  /** With `basedOn` null: the author saw every record before this offset. */
  readonly seenThrough: number;
  readonly formatVersion: number;
  /** New for every publication; a repeated append carries it again. */
  readonly nonce: string;
  readonly author: string;
  readonly configuration: unknown;
}

/** A publication with its place in the log, kept as it was written. */
export interface KeptContent {
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

/** State of a reader after the record at `asOf`; -1 before the first one. */
export interface Checkpoint {
  readonly kind: "checkpoint";
  readonly asOf: number;
  readonly head: ChainHead | null;
  /** Offset of the latest publication, whatever its verdict. */
  readonly lastPublication: number | null;
  /** Contents that some release may have in force, oldest first. */
  readonly contents: readonly KeptContent[];
}

/** What the operator is told to correct. */
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
  /** Links the chain, but its content is of a newer release. */
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
  /** A checkpoint that contradicts what this reader made of the log. */
  | {
      readonly kind: "checkpoint-disagrees";
      readonly offset: number;
      readonly asOf: number;
    };

/** A configuration that this process runs under. */
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
      readonly contents: readonly KeptContent[];
    }
  /** Earlier records are lost: no verdict until a usable checkpoint. */
  | {
      readonly kind: "unknown";
      /** Everything from this offset on is in `pending`. */
      readonly heldFrom: number;
      readonly pending: readonly LogRecord[];
    };

export interface ConfigurationState {
  /** First offset that was not applied yet. */
  readonly nextOffset: number;
  readonly chain: Chain;
  readonly inForce: ConfigurationInForce | null;
  /** Latest link that this release does not understand, if not replaced. */
  readonly notUnderstood: KeptContent | null;
  /** Log time of the latest accepted publication or usable checkpoint. */
  readonly anchoredAtMs: number | null;
}

export interface Applied {
  readonly state: ConfigurationState;
  /** In log order; a checkpoint may decide records that came before it. */
  readonly verdicts: readonly Verdict[];
}
