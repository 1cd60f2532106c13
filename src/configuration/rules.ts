/**
 * Rules by which all readers of the configuration stream reach the same state.
 */
import { BASELINE_FORMAT, knownFormats, type Formats } from "./formats.js";
import type { Chain, Checkpoint, Publication } from "./types.js";

export type KnownChain = Extract<Chain, { readonly kind: "known" }>;

/** Functions, so that a test can disable a single safeguard. */
export interface AcceptanceRules {
  readonly formats: Formats;
  /** Whether a publication at this offset is the next link of the chain. */
  readonly isNextLink: (
    publication: Publication,
    offset: number,
    chain: Pick<KnownChain, "head" | "lastPublication">,
  ) => boolean;
  /**
   * Whether a reader that has every record from `heldFrom` on may start from
   * the checkpoint.
   */
  readonly isCheckpointUsable: (
    checkpoint: Checkpoint,
    heldFrom: number,
  ) => boolean;
  /** Whether a publication with invalid content still links the chain. */
  readonly linksInvalidContent: (formatVersion: number) => boolean;
}

export const acceptanceRules: AcceptanceRules = {
  formats: knownFormats,
  // A base that isn't the latest link identifies a concurrent publication, a
  // repeated append or a late one. A publication without a base requires that
  // its author has read all earlier publications.
  isNextLink: ({ basedOn, seenThrough }, offset, { head, lastPublication }) => {
    if (basedOn !== null) return head?.version === basedOn;
    if (seenThrough > offset) return false;
    return lastPublication === null || lastPublication < seenThrough;
  },
  // Accepted publications may lie in a gap between the checkpoint and the
  // retained records; starting from such a checkpoint would revert them.
  isCheckpointUsable: ({ asOf }, heldFrom) => asOf + 1 >= heldFrom,
  linksInvalidContent: (formatVersion) => formatVersion > BASELINE_FORMAT,
};
