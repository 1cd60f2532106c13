/**
 * Simulates readers of two releases, operators, and a log with trims and
 * outages.
 */
import { Left, Right } from "purify-ts";
import {
  acceptanceRules,
  adoptSnapshot,
  applyRecords,
  BASELINE_FORMAT,
  createCheckpoint,
  encodeEnvelope,
  initialConfigurationState,
  skipTrimmed,
  type AcceptanceRules,
  type ApplyResult,
  type Checkpoint,
  type Configuration,
  type ConfigurationState,
  type ValidateContent,
  type LogRecord,
  type Publication,
  type Verdict,
} from "../../src/internal.js";
import { evaluateLog, type FuzzContent, type OracleResult } from "./oracle.js";

/** The last reader runs the newer release. */
export const READER_COUNT = 3;
const NEWER_FORMAT_VERSION = 2;

const emptyConfiguration: Configuration = {
  profiles: [],
  accounts: [],
  groups: [],
  balance: { skewWeight: 0 },
};

const validate: ValidateContent = (content) => {
  const { isValid, value } = content as FuzzContent;
  if (isValid)
    return Right({ ...emptyConfiguration, balance: { skewWeight: value } });
  return Left([{ path: "", found: "", expected: "" }]);
};

const olderFormats = new Map([[BASELINE_FORMAT, validate]]);
const newerFormats = new Map([
  ...olderFormats,
  [NEWER_FORMAT_VERSION, validate],
]);

interface Reader {
  readonly rules: AcceptanceRules;
  readonly newestFormat: number;
  state: ConfigurationState;
  verdicts: readonly Verdict[];
}

export class ConfigurationSimulation {
  readonly violations: string[] = [];
  isDown = false;
  private readonly readers: readonly Reader[];
  private readonly records: LogRecord[] = [];
  private readonly publications: (Publication | undefined)[] = [];
  private startOffset = 0;
  private nonceCount = 0;
  private stored: Checkpoint | undefined;

  private constructor(rules: AcceptanceRules) {
    this.readers = Array.from({ length: READER_COUNT }, (_, index) => {
      const isNewer = index === READER_COUNT - 1;
      const formats = isNewer ? newerFormats : olderFormats;
      const newestFormat = isNewer ? NEWER_FORMAT_VERSION : BASELINE_FORMAT;
      const state = initialConfigurationState;
      return {
        rules: { ...rules, formats },
        newestFormat,
        state,
        verdicts: [],
      };
    });
  }

  static create(
    rules: AcceptanceRules = acceptanceRules,
  ): ConfigurationSimulation {
    return new ConfigurationSimulation(rules);
  }

  /** An operator publishes from a reader's state, which may be stale. */
  publish(index: number, formatVersion: number, isValid: boolean): void {
    const { chain, inForce, nextOffset } = this.readers[index].state;
    const head = chain.kind === "known" ? chain.head : null;
    this.nonceCount += 1;
    const basedOn = head?.version ?? inForce?.version ?? null;
    this.append({
      kind: "publication",
      basedOn,
      seenThrough: nextOffset,
      formatVersion: basedOn === null ? BASELINE_FORMAT : formatVersion,
      nonce: `n${this.nonceCount}`,
      author: "operator",
      configuration: { isValid, value: this.nonceCount / 1000 },
    });
  }

  /** An earlier append takes effect again, arbitrarily late. */
  repeat(back: number): void {
    const all = this.publications.filter((item) => item !== undefined);
    const again = all.at(-1 - (back % Math.max(all.length, 1)));
    if (again !== undefined) this.append(again);
  }

  /** A writer creates a checkpoint and pauses before it appends it. */
  storeCheckpoint(index: number): void {
    this.stored = createCheckpoint(this.readers[index].state) ?? this.stored;
  }

  appendStored(): void {
    if (this.stored !== undefined) this.append(this.stored);
  }

  adoptStored(index: number): void {
    if (this.stored === undefined) return;
    const reader = this.readers[index];
    const heldFrom = this.isDown ? 0 : this.startOffset;
    const { state, rules } = reader;
    this.applyResult(
      reader,
      adoptSnapshot(state, this.stored, heldFrom, rules),
    );
  }

  read(index: number): void {
    if (this.isDown) return;
    const reader = this.readers[index];
    reader.state = skipTrimmed(reader.state, this.startOffset);
    const from = reader.state.nextOffset;
    const records = this.records.slice(from);
    this.applyResult(reader, applyRecords(reader.state, records, reader.rules));
  }

  restart(index: number): void {
    const reader = this.readers[index];
    reader.state = initialConfigurationState;
    reader.verdicts = [];
  }

  trim(count: number): void {
    const limit = this.records.length;
    this.startOffset = Math.min(this.startOffset + count, limit);
  }

  /** Ends all faults; every reader reads to the end of the log. */
  finish(): void {
    this.isDown = false;
    for (let index = 0; index < READER_COUNT; index += 1) this.read(index);
    const oracle = evaluateLog(this.publications);
    for (const reader of this.readers) this.check(reader, oracle);
  }

  private append(record: Publication | Checkpoint): void {
    if (this.isDown) return;
    const offset = this.records.length;
    const data = encodeEnvelope(record);
    this.records.push({ offset, appendedAtMs: offset, data });
    this.publications.push(record.kind === "publication" ? record : undefined);
  }

  private applyResult(reader: Reader, { state, verdicts }: ApplyResult): void {
    const before = reader.state.inForce?.version ?? -1;
    const after = state.inForce?.version ?? -1;
    if (after < before) this.addViolation(`version ${before} fell to ${after}`);
    reader.state = state;
    reader.verdicts = [...reader.verdicts, ...verdicts];
    this.check(reader, evaluateLog(this.publications));
  }

  private check(reader: Reader, oracle: OracleResult): void {
    const { state, newestFormat } = reader;
    const wanted = oracle.versionAfter(state.nextOffset - 1, newestFormat);
    const found = state.inForce?.version ?? -1;
    const isDecided = state.chain.kind === "known";
    if (isDecided ? found !== wanted : found > wanted) {
      this.addViolation(`${found} is in force where ${wanted} was accepted`);
    }
    for (const verdict of reader.verdicts) {
      this.checkVerdict(verdict, oracle, newestFormat);
    }
  }

  private checkVerdict(
    verdict: Verdict,
    { verdicts }: OracleResult,
    newestFormat: number,
  ): void {
    const { kind, offset } = verdict;
    if (kind === "checkpoint-disagrees") {
      this.addViolation(`a checkpoint disagrees at ${offset}`);
      return;
    }
    const publication = this.publications[offset];
    const isUnderstood = (publication?.formatVersion ?? 0) <= newestFormat;
    const wanted = verdicts.get(offset) ?? "unreadable";
    const comparable = kind === "duplicate" ? "superseded" : kind;
    const expected =
      isUnderstood || wanted === "superseded" ? wanted : "not-understood";
    if (comparable !== expected) {
      this.addViolation(`${offset} is ${kind} in place of ${expected}`);
    }
  }

  private addViolation(description: string): void {
    this.violations.push(description);
  }
}
