/**
 * The two datagrams between entries and planners: an entry reports its load in
 * one group, and the planner answers with the sums over all entries. Bytes
 * after the known fields are ignored, so that a later build may append some.
 */
import { createHash } from "node:crypto";
import { raise } from "../internal.js";
import { ByteReader, ByteWriter } from "./byte-codec.js";
import type { EntryLoad, PriorityLoad, RunnerLoad } from "./types.js";

export interface LoadReport {
  /** Name of the entry's process. */
  readonly entry: string;
  /** Random number of this run of the process. */
  readonly incarnation: number;
  /**
   * Time of sending on the entry's own monotonic clock, ms; later reports have
   * higher values.
   */
  readonly sentAtMs: number;
  /** Time until the next report, ms. */
  readonly intervalMs: number;
  readonly load: EntryLoad;
}

/** What an answer tells of the group; the same for all entries. */
export interface LoadSummary {
  readonly group: string;
  readonly entries: number;
  readonly limit: number;
  readonly priorities: readonly PriorityLoad[];
  readonly runners: RunnerCounts;
}

/**
 * Loads of the group's runners in the order of the group note, whose addresses
 * the entry knows already.
 */
export interface RunnerCounts {
  /** Digest of the addresses in this order. */
  readonly digest: number;
  readonly counts: readonly RunnerCount[];
}

export type RunnerCount = Omit<RunnerLoad, "address">;

export interface LoadAnswer {
  /** From the report that is answered. */
  readonly incarnation: number;
  readonly sentAtMs: number;
  readonly summary: LoadSummary;
}

/** Larger datagrams may be fragmented on the way. */
export const MAXIMUM_DATAGRAM_BYTES = 1200;
export const MAXIMUM_INCARNATION = 2 ** 48 - 1;

const FORMAT_MARK = 0xd5;
const FORMAT_VERSION = 1;
const REPORT = 1;
const ANSWER = 2;
/** Format, and run and time of sending of the report that is answered. */
const MAXIMUM_ANSWER_HEADER_BYTES = 17;
const MAXIMUM_NAME_BYTES = 255;
const MAXIMUM_PRIORITIES = 16;
const MAXIMUM_PRIORITY = 1_000_000;
const MAXIMUM_COUNT = 100_000_000;
const MAXIMUM_TIME_MS = 2 ** 45;
const MAXIMUM_RUNNERS = 4096;
const DIGEST_BYTES = 4;
const MAXIMUM_DIGEST = 2 ** 32 - 1;

export const NO_RUNNER_COUNTS: RunnerCounts = { digest: 0, counts: [] };

export function encodeReport(report: LoadReport): Buffer {
  const { entry, incarnation, sentAtMs, intervalMs, load } = report;
  const writer = startMessage(REPORT);
  writer.integer(incarnation);
  writer.integer(sentAtMs);
  writer.text(load.group);
  writer.text(entry);
  writer.integer(intervalMs);
  writer.integer(Math.min(load.limit, MAXIMUM_COUNT));
  writePriorities(writer, load.priorities);
  return writer.finish();
}

/** Throws 1905. */
export function decodeReport(bytes: Uint8Array): LoadReport {
  const reader = openMessage(bytes, REPORT);
  const incarnation = reader.integer(MAXIMUM_INCARNATION);
  const sentAtMs = reader.integer(MAXIMUM_TIME_MS);
  const group = reader.text(MAXIMUM_NAME_BYTES);
  const entry = reader.text(MAXIMUM_NAME_BYTES);
  const intervalMs = reader.integer(MAXIMUM_TIME_MS);
  const limit = reader.integer(MAXIMUM_COUNT);
  const load = { group, limit, priorities: readPriorities(reader) };
  return { entry, incarnation, sentAtMs, intervalMs, load };
}

/**
 * Encodes the part of the answers that is the same for all entries. Without the
 * runners if the answer would become too large with them.
 */
export function encodeSummary(summary: LoadSummary): Buffer {
  const complete = writeSummary(summary);
  const length = MAXIMUM_ANSWER_HEADER_BYTES + complete.length;
  if (length <= MAXIMUM_DATAGRAM_BYTES) return complete;
  return writeSummary({ ...summary, runners: NO_RUNNER_COUNTS });
}

/** `summary`: result of `encodeSummary`. */
export function encodeAnswer(
  { incarnation, sentAtMs }: Pick<LoadReport, "incarnation" | "sentAtMs">,
  summary: Buffer,
): Buffer {
  const writer = startMessage(ANSWER);
  writer.integer(incarnation);
  writer.integer(sentAtMs);
  return Buffer.concat([writer.finish(), summary]);
}

/** Throws 1905. */
export function decodeAnswer(bytes: Uint8Array): LoadAnswer {
  const reader = openMessage(bytes, ANSWER);
  const incarnation = reader.integer(MAXIMUM_INCARNATION);
  const sentAtMs = reader.integer(MAXIMUM_TIME_MS);
  return { incarnation, sentAtMs, summary: readSummary(reader) };
}

export function digestOfAddresses(addresses: readonly string[]): number {
  const hash = createHash("sha256");
  for (const address of addresses) hash.update(`${address}\n`);
  return hash.digest().readUIntBE(0, DIGEST_BYTES);
}

function startMessage(kind: number): ByteWriter {
  const writer = ByteWriter.create();
  writer.byte(FORMAT_MARK);
  writer.byte(FORMAT_VERSION);
  writer.byte(kind);
  return writer;
}

function openMessage(bytes: Uint8Array, expectedKind: number): ByteReader {
  const reader = ByteReader.create(bytes);
  const mark = reader.byte();
  if (mark !== FORMAT_MARK) raise(1905, { reason: "not a load datagram" });
  const version = reader.byte();
  if (version !== FORMAT_VERSION)
    raise(1905, { reason: `format version ${version}` });
  const kind = reader.byte();
  if (kind !== expectedKind) raise(1905, { reason: `kind ${kind}` });
  return reader;
}

function writeSummary(summary: LoadSummary): Buffer {
  const { group, entries, limit, priorities, runners } = summary;
  const writer = ByteWriter.create();
  writer.text(group);
  writer.integer(entries);
  writer.integer(Math.min(limit, MAXIMUM_COUNT));
  writePriorities(writer, priorities);
  writer.integer(runners.digest);
  writer.integer(runners.counts.length);
  for (const { running, waiting } of runners.counts) {
    writer.integer(Math.min(running, MAXIMUM_COUNT));
    writer.integer(Math.min(waiting, MAXIMUM_COUNT));
  }
  return writer.finish();
}

function readSummary(reader: ByteReader): LoadSummary {
  const group = reader.text(MAXIMUM_NAME_BYTES);
  const entries = reader.integer(MAXIMUM_COUNT);
  const limit = reader.integer(MAXIMUM_COUNT);
  const priorities = readPriorities(reader);
  const digest = reader.integer(MAXIMUM_DIGEST);
  const length = reader.integer(MAXIMUM_RUNNERS);
  const counts = Array.from({ length }, () => ({
    running: reader.integer(MAXIMUM_COUNT),
    waiting: reader.integer(MAXIMUM_COUNT),
  }));
  return { group, entries, limit, priorities, runners: { digest, counts } };
}

/** Writes the most urgent ones if there are too many. */
function writePriorities(
  writer: ByteWriter,
  priorities: readonly PriorityLoad[],
): void {
  const written = priorities
    .toSorted((a, b) => a.priority - b.priority)
    .slice(0, MAXIMUM_PRIORITIES);
  writer.integer(written.length);
  for (const { priority, running, waiting, oldestWaitMs } of written) {
    writer.integer(Math.min(priority, MAXIMUM_PRIORITY));
    writer.integer(Math.min(running, MAXIMUM_COUNT));
    writer.integer(Math.min(waiting, MAXIMUM_COUNT));
    writer.integer(Math.min(oldestWaitMs, MAXIMUM_COUNT));
  }
}

function readPriorities(reader: ByteReader): readonly PriorityLoad[] {
  const length = reader.integer(MAXIMUM_PRIORITIES);
  return Array.from({ length }, () => ({
    priority: reader.integer(MAXIMUM_PRIORITY),
    running: reader.integer(MAXIMUM_COUNT),
    waiting: reader.integer(MAXIMUM_COUNT),
    oldestWaitMs: reader.integer(MAXIMUM_COUNT),
  }));
}
