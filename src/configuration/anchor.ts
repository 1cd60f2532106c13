/**
 * How a reader that lost earlier records finds its place again: by a checkpoint
 * in the log, a peer's snapshot, or a publication made without a base.
 */
import { applyPublication, applyRecords } from "./acceptance.js";
import { contentHash } from "./content-hash.js";
import { parseEnvelope } from "./envelope.js";
import { acceptanceRules, type AcceptanceRules } from "./rules.js";
import { EMPTY_CHAIN, putInForce } from "./state.js";
import type {
  Applied,
  Chain,
  Checkpoint,
  ConfigurationState,
  KeptContent,
  LogRecord,
  Publication,
} from "./types.js";

type UnknownChain = Extract<Chain, { readonly kind: "unknown" }>;

/** Applies a record while earlier ones are missing. */
export function applyUnanchored(
  state: ConfigurationState,
  chain: UnknownChain,
  record: LogRecord,
  envelope: Publication | Checkpoint,
  rules: AcceptanceRules,
): Applied {
  const pending = [...chain.pending, record];
  const waiting = { ...state, chain: { ...chain, pending } };
  if (envelope.kind === "checkpoint") {
    const usable =
      envelope.asOf < record.offset && rules.isUsable(envelope, chain.heldFrom);
    if (!usable) return { state: waiting, verdicts: [] };
    const anchored = anchor(waiting, envelope, record.appendedAtMs, rules);
    return anchored === undefined
      ? disagreement(waiting, record.offset, envelope)
      : applyRecords(anchored, pending, rules);
  }
  if (!standsAlone(envelope, chain)) return { state: waiting, verdicts: [] };
  // Nothing was published since what its author saw, so every reader accepts
  // it, also one that knows what came before; unless it is invalid, when those
  // keep what they have and this one still lacks it.
  const alone = applyPublication(state, EMPTY_CHAIN, record, envelope, rules);
  const isAccepted = alone.verdicts.some(({ kind }) => kind === "accepted");
  return isAccepted ? alone : { state: waiting, verdicts: [] };
}

/**
 * Starts from a peer's snapshot, or moves on to it when it is ahead. During a
 * log outage nothing is known of the log's start: `heldFrom` is then 0, and a
 * gap shows by the first read after the outage.
 */
export function adoptSnapshot(
  state: ConfigurationState,
  snapshot: Checkpoint,
  heldFrom: number,
  rules: AcceptanceRules = acceptanceRules,
): Applied {
  const { chain } = state;
  const unchanged: Applied = { state, verdicts: [] };
  const isKnown = chain.kind === "known";
  if (isKnown && snapshot.asOf < state.nextOffset) return unchanged;
  const firstHeld = isKnown ? heldFrom : Math.max(heldFrom, chain.heldFrom);
  if (!rules.isUsable(snapshot, firstHeld)) return unchanged;
  const anchored = anchor(state, snapshot, state.anchoredAtMs, rules);
  if (anchored === undefined) {
    return disagreement(state, snapshot.asOf, snapshot);
  }
  return applyRecords(anchored, isKnown ? [] : chain.pending, rules);
}

/** Whether a publication without a base can be judged from what is held. */
function standsAlone(
  { basedOn, seenThrough }: Publication,
  { heldFrom, pending }: UnknownChain,
): boolean {
  if (basedOn !== null || seenThrough < heldFrom) return false;
  return !pending.some(
    ({ offset, data }) =>
      offset >= seenThrough &&
      parseEnvelope(data)
        .map(({ kind }) => kind)
        .extract() === "publication",
  );
}

/** Nothing when the checkpoint is behind what is already in force here. */
function anchor(
  state: ConfigurationState,
  checkpoint: Checkpoint,
  anchoredAtMs: number | null,
  rules: AcceptanceRules,
): ConfigurationState | undefined {
  const { asOf, head, lastPublication, contents } = checkpoint;
  if ((head?.version ?? -1) < (state.inForce?.version ?? -1)) return undefined;
  const chain: Chain = { kind: "known", head, lastPublication, contents };
  const anchored: ConfigurationState = {
    ...state,
    nextOffset: asOf + 1,
    chain,
    anchoredAtMs,
  };
  return contents.reduce<ConfigurationState>(
    (reached, content) => takeContent(reached, content, rules),
    anchored,
  );
}

function takeContent(
  state: ConfigurationState,
  content: KeptContent,
  { formats }: AcceptanceRules,
): ConfigurationState {
  const { version, formatVersion, author, configuration } = content;
  const examine = formats.get(formatVersion);
  if (examine === undefined) return { ...state, notUnderstood: content };
  return examine(configuration).caseOf<ConfigurationState>({
    Left: () => state,
    Right: (parsed) => {
      // Listed oldest first: those up to the version in force came before it.
      if (version <= (state.inForce?.version ?? -1)) return state;
      const hash = contentHash(configuration);
      const inForce = { version, hash, author, configuration: parsed };
      return putInForce(state, inForce);
    },
  });
}

function disagreement(
  state: ConfigurationState,
  offset: number,
  { asOf }: Checkpoint,
): Applied {
  return {
    state,
    verdicts: [{ kind: "checkpoint-disagrees", offset, asOf }],
  };
}
