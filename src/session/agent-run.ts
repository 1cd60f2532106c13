/** One run of the engine and the part of its answer that is held. */
import { crc32 } from "node:zlib";
import type { ErrorNumber } from "../shared/errors.js";
import type { Call, Header } from "./types.js";

export interface Run {
  /** Attempt that started it; the engine's name for it. */
  readonly name: string;
  readonly call: Call;
  /** Attempt whose session gets the answer now. */
  attempt: string;
  /** Connection of that session; undefined while nobody reads. */
  connection: number | undefined;
  detachedAt: number;
  /** Answers of the engine to an older start or resume are late. */
  stream: number;
  status: "starting" | "running" | "ended" | "failed";
  /** Was made by a resumption: the start was another incarnation's. */
  isFound: boolean;
  endedAt: number;
  error: ErrorNumber;
  head:
    | {
        readonly status: number;
        readonly headers: readonly Header[];
        /** The backend server marks where this answer ends. */
        readonly isEndMarked: boolean;
      }
    | undefined;
  /** Pieces from `base` on; the ones before it were dropped. */
  pieces: Uint8Array[];
  base: number;
  heldBytes: number;
  /** Pieces so far and CRC-32 over all of them, the dropped ones included. */
  count: number;
  checksum: number;
  /** First piece that the reader wants. */
  sendFrom: number;
}

export function createRun(
  name: string,
  call: Call,
  attempt: string,
  connection: number,
): Run {
  return {
    name,
    call,
    attempt,
    connection,
    detachedAt: Number.POSITIVE_INFINITY,
    stream: 1,
    status: "starting",
    isFound: false,
    endedAt: Number.POSITIVE_INFINITY,
    error: 1210,
    head: undefined,
    pieces: [],
    base: 0,
    heldBytes: 0,
    count: 0,
    checksum: 0,
    sendFrom: 0,
  };
}

export function isOver(run: Run): boolean {
  return run.status === "ended" || run.status === "failed";
}

/** Takes a piece; returns the change in bytes held. */
export function holdPiece(
  run: Run,
  data: Uint8Array,
  maximumBytes: number,
): number {
  run.pieces.push(data);
  run.count += 1;
  run.checksum = crc32(data, run.checksum);
  run.heldBytes += data.byteLength;
  if (run.heldBytes <= maximumBytes) return data.byteLength;
  return data.byteLength - dropOldestHalf(run);
}

/** Dropping one piece at a time would move the whole array each time. */
function dropOldestHalf(run: Run): number {
  const dropped = run.pieces.splice(0, Math.ceil(run.pieces.length / 2));
  const bytes = dropped.reduce((sum, piece) => sum + piece.byteLength, 0);
  run.base += dropped.length;
  run.heldBytes -= bytes;
  return bytes;
}

/** Drops what is held; returns the bytes freed. */
export function dropPieces(run: Run): number {
  const bytes = run.heldBytes;
  run.base = run.count;
  run.pieces = [];
  run.heldBytes = 0;
  return bytes;
}

/** Begins the answer anew, for an engine that sends it from the start. */
export function restartAnswer(run: Run): void {
  run.stream += 1;
  run.status = "running";
  run.base = 0;
  run.count = 0;
  run.checksum = 0;
  run.head = undefined;
}
