/** Readers of two releases, operators and a log that trims and goes down. */
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
  type Applied,
  type Checkpoint,
  type Configuration,
  type ConfigurationState,
  type ExamineContent,
  type LogRecord,
  type Publication,
  type Verdict,
} from "../../src/internal.js";
import { readWhole, type FuzzContent, type OracleReading } from "./oracle.js";

/** The last reader is of the newer release. */
export const READERS = 3;
const NEWER_FORMAT = 2;

const empty: Configuration = {
  profiles: [],
  accounts: [],
  groups: [],
  balance: { skewWeight: 0 },
};

const examine: ExamineContent = (content) => {
  const { isValid, value } = content as FuzzContent;
  if (isValid) return Right({ ...empty, balance: { skewWeight: value } });
  return Left([{ path: "", found: "", expected: "" }]);
};

const olderFormats = new Map([[BASELINE_FORMAT, examine]]);
const newerFormats = new Map([...olderFormats, [NEWER_FORMAT, examine]]);

interface Reader {
  readonly rules: AcceptanceRules;
  readonly newestFormat: number;
  state: ConfigurationState;
  verdicts: readonly Verdict[];
}

export class ConfigurationWorld {
  readonly violations: string[] = [];
  isDown = false;
  private readonly readers: readonly Reader[];
  private readonly records: LogRecord[] = [];
  private readonly publications: (Publication | undefined)[] = [];
  private startOffset = 0;
  private nonces = 0;
  private stored: Checkpoint | undefined;

  private constructor(rules: AcceptanceRules) {
    this.readers = Array.from({ length: READERS }, (_, index) => {
      const isNewer = index === READERS - 1;
      const formats = isNewer ? newerFormats : olderFormats;
      const newestFormat = isNewer ? NEWER_FORMAT : BASELINE_FORMAT;
      const state = initialConfigurationState;
      return {
        rules: { ...rules, formats },
        newestFormat,
        state,
        verdicts: [],
      };
    });
  }

  static create(rules: AcceptanceRules = acceptanceRules): ConfigurationWorld {
    return new ConfigurationWorld(rules);
  }

  /** An operator publishes from what a reader knows, which may be old. */
  publish(from: number, formatVersion: number, isValid: boolean): void {
    const { chain, inForce, nextOffset } = this.readers[from].state;
    const head = chain.kind === "known" ? chain.head : null;
    this.nonces += 1;
    const basedOn = head?.version ?? inForce?.version ?? null;
    this.append({
      kind: "publication",
      basedOn,
      seenThrough: nextOffset,
      formatVersion: basedOn === null ? BASELINE_FORMAT : formatVersion,
      nonce: `n${this.nonces}`,
      author: "operator",
      configuration: { isValid, value: this.nonces / 1000 },
    });
  }

  /** An earlier append lands once more, however late. */
  repeat(back: number): void {
    const all = this.publications.filter((item) => item !== undefined);
    const again = all.at(-1 - (back % Math.max(all.length, 1)));
    if (again !== undefined) this.append(again);
  }

  /** A writer takes its state and is paused with it. */
  storeCheckpoint(from: number): void {
    this.stored = createCheckpoint(this.readers[from].state) ?? this.stored;
  }

  appendStored(): void {
    if (this.stored !== undefined) this.append(this.stored);
  }

  adoptStored(index: number): void {
    if (this.stored === undefined) return;
    const reader = this.readers[index];
    const heldFrom = this.isDown ? 0 : this.startOffset;
    const { state, rules } = reader;
    this.take(reader, adoptSnapshot(state, this.stored, heldFrom, rules));
  }

  read(index: number): void {
    if (this.isDown) return;
    const reader = this.readers[index];
    reader.state = skipTrimmed(reader.state, this.startOffset);
    const from = reader.state.nextOffset;
    const records = this.records.slice(from);
    this.take(reader, applyRecords(reader.state, records, reader.rules));
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

  /** The faults are over; everybody reads to the end. */
  finish(): void {
    this.isDown = false;
    for (let index = 0; index < READERS; index += 1) this.read(index);
    const oracle = readWhole(this.publications);
    for (const reader of this.readers) this.check(reader, oracle);
  }

  private append(record: Publication | Checkpoint): void {
    if (this.isDown) return;
    const offset = this.records.length;
    const data = encodeEnvelope(record);
    this.records.push({ offset, appendedAtMs: offset, data });
    this.publications.push(record.kind === "publication" ? record : undefined);
  }

  private take(reader: Reader, { state, verdicts }: Applied): void {
    const before = reader.state.inForce?.version ?? -1;
    const after = state.inForce?.version ?? -1;
    if (after < before) this.violate(`version ${before} fell to ${after}`);
    reader.state = state;
    reader.verdicts = [...reader.verdicts, ...verdicts];
    this.check(reader, readWhole(this.publications));
  }

  private check(reader: Reader, oracle: OracleReading): void {
    const { state, newestFormat } = reader;
    const wanted = oracle.versionAfter(state.nextOffset - 1, newestFormat);
    const found = state.inForce?.version ?? -1;
    const isDecided = state.chain.kind === "known";
    if (isDecided ? found !== wanted : found > wanted) {
      this.violate(`${found} is in force where ${wanted} was accepted`);
    }
    for (const verdict of reader.verdicts) {
      this.checkVerdict(verdict, oracle, newestFormat);
    }
  }

  private checkVerdict(
    verdict: Verdict,
    { verdicts }: OracleReading,
    newestFormat: number,
  ): void {
    const { kind, offset } = verdict;
    if (kind === "checkpoint-disagrees") {
      this.violate(`a checkpoint disagrees at ${offset}`);
      return;
    }
    const publication = this.publications[offset];
    const isUnderstood = (publication?.formatVersion ?? 0) <= newestFormat;
    const wanted = verdicts.get(offset) ?? "unreadable";
    const shown = kind === "duplicate" ? "superseded" : kind;
    const expected =
      isUnderstood || wanted === "superseded" ? wanted : "not-understood";
    if (shown !== expected) {
      this.violate(`${offset} is ${kind} in place of ${expected}`);
    }
  }

  private violate(what: string): void {
    this.violations.push(what);
  }
}
