/**
 * Acceptance as a deterministic function of the log.
 *
 * A publication names the version it was made from and is the next link of the
 * chain only if that is still the latest link. Racing operators are decided by
 * log order alone, and a repeated or late append can't revert anything, because
 * its base is no longer the latest. Linking depends on the envelope alone;
 * releases differ only in which content they understand, and what one does not
 * understand it reports and never puts in force.
 */
import { applyUnanchored } from "./anchor.js";
import { contentHash } from "./content-hash.js";
import { parseEnvelope } from "./envelope.js";
import {
  acceptanceRules,
  type AcceptanceRules,
  type KnownChain,
} from "./rules.js";
import { putInForce, skipTrimmed } from "./state.js";
import type {
  Applied,
  Checkpoint,
  ConfigurationState,
  KeptContent,
  LogRecord,
  Publication,
  Verdict,
} from "./types.js";

/** Applies the record at the next offset; one applied before changes nothing. */
export function applyRecord(
  state: ConfigurationState,
  record: LogRecord,
  rules: AcceptanceRules = acceptanceRules,
): Applied {
  const { offset } = record;
  if (offset < state.nextOffset) return { state, verdicts: [] };
  const next = { ...skipTrimmed(state, offset), nextOffset: offset + 1 };
  const envelope = parseEnvelope(record.data).extract();
  if (typeof envelope === "string") {
    const verdict: Verdict = { kind: "unreadable", offset, reason: envelope };
    return { state: next, verdicts: [verdict] };
  }
  if (next.chain.kind === "unknown") {
    return applyUnanchored(next, next.chain, record, envelope, rules);
  }
  return envelope.kind === "checkpoint"
    ? compareCheckpoint(next, next.chain, record, envelope)
    : applyPublication(next, next.chain, record, envelope, rules);
}

/** Applies records in order, as a read of the log returns them. */
export function applyRecords(
  from: ConfigurationState,
  records: readonly LogRecord[],
  rules: AcceptanceRules = acceptanceRules,
): Applied {
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
): Applied {
  const { offset } = record;
  const seen = { ...chain, lastPublication: offset };
  if (rules.isNextLink(publication, offset, chain)) {
    return link(state, seen, record, publication, rules);
  }
  const verdict = missedLink(chain, offset, publication);
  return { state: { ...state, chain: seen }, verdicts: [verdict] };
}

function missedLink(
  { head }: KnownChain,
  offset: number,
  { nonce, author, basedOn }: Publication,
): Verdict {
  const about = { offset, nonce, author };
  if (head?.nonce === nonce) {
    return { ...about, kind: "duplicate", of: head.version };
  }
  const latest = head?.version ?? null;
  return { ...about, kind: "superseded", basedOn, latest };
}

function link(
  state: ConfigurationState,
  chain: KnownChain,
  record: LogRecord,
  publication: Publication,
  rules: AcceptanceRules,
): Applied {
  const { offset } = record;
  const { formatVersion, nonce, author, configuration } = publication;
  const about = { offset, nonce, author };
  const head = { version: offset, nonce };
  const content: KeptContent = {
    version: offset,
    formatVersion,
    nonce,
    author,
    configuration,
  };
  const examine = rules.formats.get(formatVersion);
  if (examine === undefined) {
    const linked = { ...chain, head, contents: [...chain.contents, content] };
    return {
      state: { ...state, chain: linked, notUnderstood: content },
      verdicts: [{ ...about, kind: "not-understood", formatVersion }],
    };
  }
  return examine(configuration).caseOf<Applied>({
    Left: (problems) => {
      const links = rules.linksWhenInvalid(formatVersion);
      return {
        state: { ...state, chain: links ? { ...chain, head } : chain },
        verdicts: [{ ...about, kind: "invalid", problems }],
      };
    },
    Right: (parsed) => {
      const hash = contentHash(configuration);
      const inForce = { version: offset, hash, author, configuration: parsed };
      const older = olderFormats(chain.contents, formatVersion);
      return {
        state: {
          ...putInForce(state, inForce),
          chain: { ...chain, head, contents: [...older, content] },
          anchoredAtMs: record.appendedAtMs,
        },
        verdicts: [{ ...about, kind: "accepted", hash }],
      };
    },
  });
}

/**
 * Contents that still matter after a valid one: a reader that understands a
 * format understands the older ones too and so runs the new content.
 */
function olderFormats(
  contents: readonly KeptContent[],
  formatVersion: number,
): readonly KeptContent[] {
  return contents.filter((kept) => kept.formatVersion < formatVersion);
}

function compareCheckpoint(
  state: ConfigurationState,
  chain: KnownChain,
  record: LogRecord,
  { asOf, head }: Checkpoint,
): Applied {
  const { offset, appendedAtMs } = record;
  const own = chain.head?.version ?? -1;
  const theirs = head?.version ?? -1;
  const isFresh = asOf >= own;
  const agrees = isFresh ? theirs === own : theirs < own;
  if (!agrees) {
    const verdict: Verdict = { kind: "checkpoint-disagrees", offset, asOf };
    return { state, verdicts: [verdict] };
  }
  const anchoredAtMs = isFresh ? appendedAtMs : state.anchoredAtMs;
  return { state: { ...state, anchoredAtMs }, verdicts: [] };
}
