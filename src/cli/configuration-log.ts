/** Reads the configuration stream by the same rules as the daemons. */
import {
  applyRecords,
  CONFIGURATION_STREAM,
  initialConfigurationState,
  skipTrimmed,
  type ConfigurationState,
  type Verdict,
} from "../internal.js";
import { toFailure } from "../internal.js";
import type { LogClient, LogPage } from "../platform/log-client.js";

export interface ConfigurationHistory {
  readonly state: ConfigurationState;
  readonly verdicts: readonly Verdict[];
  /** Append time of each retained record, by offset. */
  readonly appendedAtMs: ReadonlyMap<number, number>;
}

const emptyHistory: ConfigurationHistory = {
  state: initialConfigurationState,
  verdicts: [],
  appendedAtMs: new Map(),
};

/** Extends a history by all records that the log holds now. */
export async function readHistory(
  log: LogClient,
  from: ConfigurationHistory = emptyHistory,
): Promise<ConfigurationHistory> {
  let history = from;
  for (;;) {
    const page = await readPage(log, history.state.nextOffset);
    history = extend(history, page);
    if (history.state.nextOffset >= page.nextOffset) return history;
  }
}

function extend(
  history: ConfigurationHistory,
  page: LogPage,
): ConfigurationHistory {
  const trimmed = skipTrimmed(history.state, page.startOffset);
  const applied = applyRecords(trimmed, page.records);
  const times = page.records.map(
    ({ offset, appendedAtMs }) => [offset, appendedAtMs] as const,
  );
  return {
    state: applied.state,
    verdicts: [...history.verdicts, ...applied.verdicts],
    appendedAtMs: new Map([...history.appendedAtMs, ...times]),
  };
}

async function readPage(log: LogClient, from: number): Promise<LogPage> {
  try {
    return await log.read(CONFIGURATION_STREAM, { from });
  } catch (error) {
    const failure = toFailure(error, 1901);
    const start = failure.detail.startOffset;
    if (failure.number !== 1902 || typeof start !== "number") throw failure;
    return log.read(CONFIGURATION_STREAM, { from: start });
  }
}
