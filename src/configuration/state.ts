/** State of a reader of the configuration stream. */
import { raise } from "../internal.js";
import type { KnownChain } from "./rules.js";
import type {
  Chain,
  Checkpoint,
  ConfigurationInForce,
  ConfigurationState,
} from "./types.js";

/** Stream of the log that holds publications and checkpoints. */
export const CONFIGURATION_STREAM = "configuration";

export const EMPTY_CHAIN: KnownChain = {
  kind: "known",
  head: null,
  lastPublication: null,
  contents: [],
};

/** State before the first read: an empty log that starts at offset zero. */
export const initialConfigurationState: ConfigurationState = {
  nextOffset: 0,
  chain: EMPTY_CHAIN,
  inForce: null,
  notUnderstood: null,
  anchoredAtMs: null,
};

/**
 * Must be called with the log's start offset on every read. A reader that
 * missed trimmed records keeps its configuration in force, but returns no
 * verdicts until it reads a usable checkpoint.
 */
export function skipTrimmed(
  state: ConfigurationState,
  startOffset: number,
): ConfigurationState {
  if (startOffset <= state.nextOffset) return state;
  const chain: Chain = { kind: "unknown", heldFrom: startOffset, pending: [] };
  return { ...state, nextOffset: startOffset, chain };
}

/**
 * Checkpoint or snapshot of the state; undefined while the chain is unknown.
 */
export function createCheckpoint(
  state: ConfigurationState,
): Checkpoint | undefined {
  if (state.chain.kind === "unknown") return undefined;
  const { head, lastPublication, contents } = state.chain;
  const asOf = state.nextOffset - 1;
  return { kind: "checkpoint", asOf, head, lastPublication, contents };
}

/**
 * Throws 1104 for a lower version than the one in force. Versions only rise, so
 * the two states would come from different logs, and going on would revert a
 * version that was reported to operators as accepted.
 */
export function putInForce(
  state: ConfigurationState,
  inForce: ConfigurationInForce,
): ConfigurationState {
  const version = state.inForce?.version ?? -1;
  if (inForce.version < version) {
    raise(1104, { version, offered: inForce.version });
  }
  return { ...state, inForce, notUnderstood: null };
}
