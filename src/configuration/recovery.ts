/**
 * Recovery of a reader that is missing earlier records: it restarts from a
 * checkpoint in the log, a peer's snapshot, or a publication without a base.
 */
import { applyPublication, applyRecords } from "./acceptance.js";
import { contentHash } from "./content-hash.js";
import { parseEnvelope } from "./envelope.js";
import { acceptanceRules, type AcceptanceRules } from "./rules.js";
import { EMPTY_CHAIN, putInForce } from "./state.js";
import type {
  ApplyResult,
  Chain,
  Checkpoint,
  ConfigurationState,
  PublishedContent,
  LogRecord,
  Publication,
} from "./types.js";

type UnknownChain = Extract<Chain, { readonly kind: "unknown" }>;

/** Applies a record while earlier records are missing. */
export function applyToUnknownChain(
  state: ConfigurationState,
  chain: UnknownChain,
  record: LogRecord,
  envelope: Publication | Checkpoint,
  rules: AcceptanceRules,
): ApplyResult {
  const pending = [...chain.pending, record];
  const waiting = { ...state, chain: { ...chain, pending } };
  if (envelope.kind === "checkpoint") {
    const isUsable =
      envelope.asOf < record.offset &&
      rules.isCheckpointUsable(envelope, chain.heldFrom);
    if (!isUsable) return { state: waiting, verdicts: [] };
    const restored = restoreCheckpoint(
      waiting,
      envelope,
      record.appendedAtMs,
      rules,
    );
    return restored === undefined
      ? rejectCheckpoint(waiting, record.offset, envelope)
      : applyRecords(restored, pending, rules);
  }
  if (!isFirstPublication(envelope, chain))
    return { state: waiting, verdicts: [] };
  // Nothing was published after what its author had read, so readers with the
  // whole history accept it too. If it is invalid, they keep their earlier
  // configuration, which this reader still doesn't know.
  const applied = applyPublication(state, EMPTY_CHAIN, record, envelope, rules);
  const isAccepted = applied.verdicts.some(({ kind }) => kind === "accepted");
  return isAccepted ? applied : { state: waiting, verdicts: [] };
}

/**
 * Starts from a peer's snapshot, or advances to it if it is ahead. During a log
 * outage the log's start offset is unknown: `heldFrom` is then 0, and the first
 * read after the outage detects a gap.
 */
export function adoptSnapshot(
  state: ConfigurationState,
  snapshot: Checkpoint,
  heldFrom: number,
  rules: AcceptanceRules = acceptanceRules,
): ApplyResult {
  const { chain } = state;
  const unchanged: ApplyResult = { state, verdicts: [] };
  const isKnown = chain.kind === "known";
  if (isKnown && snapshot.asOf < state.nextOffset) return unchanged;
  const firstHeld = isKnown ? heldFrom : Math.max(heldFrom, chain.heldFrom);
  if (!rules.isCheckpointUsable(snapshot, firstHeld)) return unchanged;
  const restored = restoreCheckpoint(
    state,
    snapshot,
    state.anchoredAtMs,
    rules,
  );
  if (restored === undefined) {
    return rejectCheckpoint(state, snapshot.asOf, snapshot);
  }
  return applyRecords(restored, isKnown ? [] : chain.pending, rules);
}

/**
 * Whether this is a publication without a base that can be accepted although
 * earlier records are missing: its author read everything up to the retained
 * records, and none of those is a publication that the author hasn't read.
 */
function isFirstPublication(
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

/** Undefined if the checkpoint is older than the version in force here. */
function restoreCheckpoint(
  state: ConfigurationState,
  checkpoint: Checkpoint,
  anchoredAtMs: number | null,
  rules: AcceptanceRules,
): ConfigurationState | undefined {
  const { asOf, head, lastPublication, contents } = checkpoint;
  if ((head?.version ?? -1) < (state.inForce?.version ?? -1)) return undefined;
  const chain: Chain = { kind: "known", head, lastPublication, contents };
  const base: ConfigurationState = {
    ...state,
    nextOffset: asOf + 1,
    chain,
    anchoredAtMs,
  };
  return contents.reduce<ConfigurationState>(
    (restored, content) => restoreContent(restored, content, rules),
    base,
  );
}

function restoreContent(
  state: ConfigurationState,
  content: PublishedContent,
  { formats }: AcceptanceRules,
): ConfigurationState {
  const { version, formatVersion, author, configuration } = content;
  const validate = formats.get(formatVersion);
  if (validate === undefined) return { ...state, notUnderstood: content };
  return validate(configuration).caseOf<ConfigurationState>({
    Left: () => state,
    Right: (parsed) => {
      // Contents are listed oldest first; skip those not newer than the version
      // in force.
      if (version <= (state.inForce?.version ?? -1)) return state;
      const hash = contentHash(configuration);
      const inForce = { version, hash, author, configuration: parsed };
      return putInForce(state, inForce);
    },
  });
}

function rejectCheckpoint(
  state: ConfigurationState,
  offset: number,
  { asOf }: Checkpoint,
): ApplyResult {
  return {
    state,
    verdicts: [{ kind: "checkpoint-disagrees", offset, asOf }],
  };
}
