/**
 * Acceptance as a deterministic function of the log.
 *
 * A publication names the version that it is based on, and becomes the next
 * link of the chain only if that version is still the latest link. Log order
 * alone decides between concurrent publications, and a repeated or late append
 * can't revert anything, because its base is no longer the latest link. Linking
 * depends on the envelope alone. Releases differ only in the content formats
 * they understand; a release reports content that it doesn't understand and
 * never puts it in force.
 */
import { applyToUnknownChain } from "./recovery.js";
import { contentHash } from "./content-hash.js";
import { parseEnvelope } from "./envelope.js";
import {
  acceptanceRules,
  type AcceptanceRules,
  type KnownChain,
} from "./rules.js";
import { putInForce, skipTrimmed } from "./state.js";
import type {
  ApplyResult,
  Checkpoint,
  ConfigurationState,
  PublishedContent,
  LogRecord,
  Publication,
  Verdict,
} from "./types.js";

/** Applies one record; a record that was already applied changes nothing. */
export function applyRecord(
  state: ConfigurationState,
  record: LogRecord,
  rules: AcceptanceRules = acceptanceRules,
): ApplyResult {
  const { offset } = record;
  if (offset < state.nextOffset) return { state, verdicts: [] };
  const next = { ...skipTrimmed(state, offset), nextOffset: offset + 1 };
  const envelope = parseEnvelope(record.data).extract();
  if (typeof envelope === "string") {
    const verdict: Verdict = { kind: "unreadable", offset, reason: envelope };
    return { state: next, verdicts: [verdict] };
  }
  if (next.chain.kind === "unknown") {
    return applyToUnknownChain(next, next.chain, record, envelope, rules);
  }
  return envelope.kind === "checkpoint"
    ? compareCheckpoint(next, next.chain, record, envelope)
    : applyPublication(next, next.chain, record, envelope, rules);
}

/** Applies records in log order. */
export function applyRecords(
  from: ConfigurationState,
  records: readonly LogRecord[],
  rules: AcceptanceRules = acceptanceRules,
): ApplyResult {
  let state = from;
  const verdicts: Verdict[] = [];
  for (const record of records) {
    const applied = applyRecord(state, record, rules);
    state = applied.state;
    verdicts.push(...applied.verdicts);
  }
  return { state, verdicts };
}

export function applyPublication(
  state: ConfigurationState,
  chain: KnownChain,
  record: LogRecord,
  publication: Publication,
  rules: AcceptanceRules,
): ApplyResult {
  const { offset } = record;
  const updated = { ...chain, lastPublication: offset };
  if (rules.isNextLink(publication, offset, chain)) {
    return linkPublication(state, updated, record, publication, rules);
  }
  const verdict = rejectPublication(chain, offset, publication);
  return { state: { ...state, chain: updated }, verdicts: [verdict] };
}

function rejectPublication(
  { head }: KnownChain,
  offset: number,
  { nonce, author, basedOn }: Publication,
): Verdict {
  const identity = { offset, nonce, author };
  if (head?.nonce === nonce) {
    return { ...identity, kind: "duplicate", of: head.version };
  }
  const latest = head?.version ?? null;
  return { ...identity, kind: "superseded", basedOn, latest };
}

function linkPublication(
  state: ConfigurationState,
  chain: KnownChain,
  record: LogRecord,
  publication: Publication,
  rules: AcceptanceRules,
): ApplyResult {
  const { offset } = record;
  const { formatVersion, nonce, author, configuration } = publication;
  const identity = { offset, nonce, author };
  const head = { version: offset, nonce };
  const content: PublishedContent = {
    version: offset,
    formatVersion,
    nonce,
    author,
    configuration,
  };
  const validate = rules.formats.get(formatVersion);
  if (validate === undefined) {
    const linked = { ...chain, head, contents: [...chain.contents, content] };
    return {
      state: { ...state, chain: linked, notUnderstood: content },
      verdicts: [{ ...identity, kind: "not-understood", formatVersion }],
    };
  }
  return validate(configuration).caseOf<ApplyResult>({
    Left: (problems) => {
      const links = rules.linksInvalidContent(formatVersion);
      return {
        state: { ...state, chain: links ? { ...chain, head } : chain },
        verdicts: [{ ...identity, kind: "invalid", problems }],
      };
    },
    Right: (parsed) => {
      const hash = contentHash(configuration);
      const inForce = { version: offset, hash, author, configuration: parsed };
      const older = contentsOfOlderFormats(chain.contents, formatVersion);
      return {
        state: {
          ...putInForce(state, inForce),
          chain: { ...chain, head, contents: [...older, content] },
          anchoredAtMs: record.appendedAtMs,
        },
        verdicts: [{ ...identity, kind: "accepted", hash }],
      };
    },
  });
}

/**
 * Contents to keep after a valid one is accepted. Those of the same or a newer
 * format are dropped, because every reader that understands them also
 * understands the accepted content and puts it in force.
 */
function contentsOfOlderFormats(
  contents: readonly PublishedContent[],
  formatVersion: number,
): readonly PublishedContent[] {
  return contents.filter((kept) => kept.formatVersion < formatVersion);
}

function compareCheckpoint(
  state: ConfigurationState,
  chain: KnownChain,
  record: LogRecord,
  { asOf, head }: Checkpoint,
): ApplyResult {
  const { offset, appendedAtMs } = record;
  const localVersion = chain.head?.version ?? -1;
  const checkpointVersion = head?.version ?? -1;
  const coversHead = asOf >= localVersion;
  const agrees = coversHead
    ? checkpointVersion === localVersion
    : checkpointVersion < localVersion;
  if (!agrees) {
    const verdict: Verdict = { kind: "checkpoint-disagrees", offset, asOf };
    return { state, verdicts: [verdict] };
  }
  const anchoredAtMs = coversHead ? appendedAtMs : state.anchoredAtMs;
  return { state: { ...state, anchoredAtMs }, verdicts: [] };
}
