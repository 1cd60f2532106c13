/** The state of one reader of the configuration stream. */
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

/** Before the first read: an empty log from offset zero. */
export const initialConfigurationState: ConfigurationState = {
  nextOffset: 0,
  chain: EMPTY_CHAIN,
  inForce: null,
  notUnderstood: null,
  anchoredAtMs: null,
};

/**
 * To be called with the start offset of every read. A reader that was away for
 * longer than the retention keeps what it has in force, but decides nothing
 * until a usable checkpoint comes.
 */
export function skipTrimmed(
  state: ConfigurationState,
  startOffset: number,
): ConfigurationState {
  if (startOffset <= state.nextOffset) return state;
  const chain: Chain = { kind: "unknown", heldFrom: startOffset, pending: [] };
  return { ...state, nextOffset: startOffset, chain };
}

/** The state as a checkpoint record or snapshot; nothing while undecided. */
export function createCheckpoint(
  state: ConfigurationState,
): Checkpoint | undefined {
  if (state.chain.kind === "unknown") return undefined;
  const { head, lastPublication, contents } = state.chain;
  const asOf = state.nextOffset - 1;
  return { kind: "checkpoint", asOf, head, lastPublication, contents };
}

/**
 * Versions only rise. A lower one here would mean that two states were made
 * from different logs; going on would revert what operators were told.
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
