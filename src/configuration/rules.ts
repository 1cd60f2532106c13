/** The decisions that keep all readers of the configuration stream together. */
import { BASELINE_FORMAT, knownFormats, type Formats } from "./formats.js";
import type { Chain, Checkpoint, Publication } from "./types.js";

export type KnownChain = Extract<Chain, { readonly kind: "known" }>;

/** Functions, so that a test can switch off one safeguard. */
export interface AcceptanceRules {
  readonly formats: Formats;
  /** Whether a publication at an offset is the next link. */
  readonly isNextLink: (
    publication: Publication,
    offset: number,
    chain: Pick<KnownChain, "head" | "lastPublication">,
  ) => boolean;
  /** Whether a reader that holds everything from an offset may start there. */
  readonly isUsable: (checkpoint: Checkpoint, heldFrom: number) => boolean;
  /** Whether an invalid publication still links the chain. */
  readonly linksWhenInvalid: (formatVersion: number) => boolean;
}

export const acceptanceRules: AcceptanceRules = {
  formats: knownFormats,
  // A base that is no longer the latest link is how a racing operator, a
  // repeated append and one that lands late are told from a new publication.
  // Without a base, the author must have seen all earlier publications.
  isNextLink: ({ basedOn, seenThrough }, offset, { head, lastPublication }) => {
    if (basedOn !== null) return head?.version === basedOn;
    if (seenThrough > offset) return false;
    return lastPublication === null || lastPublication < seenThrough;
  },
  // A checkpoint that leaves a gap before the held records may hide accepted
  // publications: starting from it would revert them.
  isUsable: ({ asOf }, heldFrom) => asOf + 1 >= heldFrom,
  linksWhenInvalid: (formatVersion) => formatVersion > BASELINE_FORMAT,
};
