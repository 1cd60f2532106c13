/**
 * Uses the library without a daemon: applies log records to the configuration
 * state to decide which publications are accepted.
 */
import {
  applyRecords,
  initialConfigurationState,
  type LogRecord,
} from "../src/index.js";

const record: LogRecord = {
  offset: 0,
  appendedAtMs: 0,
  data: Buffer.from(
    JSON.stringify({
      kind: "publication",
      basedOn: null,
      seenThrough: 0,
      formatVersion: 1,
      nonce: "first",
      author: "example",
      configuration: { profiles: [], accounts: [], groups: [] },
    }),
  ),
};

const { verdicts } = applyRecords(initialConfigurationState, [record]);
console.log(verdicts);
