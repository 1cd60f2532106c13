/** State of one engine run and the buffered part of its answer. */
import { crc32 } from "node:zlib";
import type { ErrorNumber } from "../shared/errors.js";
import type { Call, Header } from "./types.js";

export interface Run {
  /** ID of the attempt that started the run; identifies it at the engine. */
  readonly id: string;
  readonly call: Call;
  /** Attempt that currently receives the answer. */
  attempt: string;
  /** Connection of that attempt; undefined while no entry reads the answer. */
  connection: number | undefined;
  detachedAt: number;
  /** Rises with each resend; engine data for older streams is dropped. */
  stream: number;
  status: "starting" | "running" | "ended" | "failed";
  /** Created by a resumption; an earlier incarnation started the run. */
  isRecovered: boolean;
  endedAt: number;
  error: ErrorNumber;
  head:
    | {
        readonly status: number;
        readonly headers: readonly Header[];
        /** The backend server marks the end of this answer explicitly. */
        readonly isEndMarked: boolean;
      }
    | undefined;
  /** Pieces from `firstBufferedIndex` on; earlier ones were dropped. */
  bufferedPieces: Uint8Array[];
  firstBufferedIndex: number;
  bufferedBytes: number;
  /** Number of pieces so far, and CRC-32 over them, including dropped ones. */
  pieceCount: number;
  checksum: number;
  /** Index of the first piece to send to the reader. */
  sendFromIndex: number;
}

export function createRun(
  id: string,
  call: Call,
  attempt: string,
  connection: number,
): Run {
  return {
    id,
    call,
    attempt,
    connection,
    detachedAt: Number.POSITIVE_INFINITY,
    stream: 1,
    status: "starting",
    isRecovered: false,
    endedAt: Number.POSITIVE_INFINITY,
    error: 1210,
    head: undefined,
    bufferedPieces: [],
    firstBufferedIndex: 0,
    bufferedBytes: 0,
    pieceCount: 0,
    checksum: 0,
    sendFromIndex: 0,
  };
}

export function isFinished(run: Run): boolean {
  return run.status === "ended" || run.status === "failed";
}

/** Buffers a piece; returns the change in buffered bytes. */
export function bufferPiece(
  run: Run,
  data: Uint8Array,
  maximumBytes: number,
): number {
  run.bufferedPieces.push(data);
  run.pieceCount += 1;
  run.checksum = crc32(data, run.checksum);
  run.bufferedBytes += data.byteLength;
  if (run.bufferedBytes <= maximumBytes) return data.byteLength;
  return data.byteLength - dropOldestHalf(run);
}

/** Drops half at once, because each removal shifts the whole array. */
function dropOldestHalf(run: Run): number {
  const dropped = run.bufferedPieces.splice(
    0,
    Math.ceil(run.bufferedPieces.length / 2),
  );
  const bytes = dropped.reduce((sum, piece) => sum + piece.byteLength, 0);
  run.firstBufferedIndex += dropped.length;
  run.bufferedBytes -= bytes;
  return bytes;
}

/** Drops all buffered pieces; returns the bytes freed. */
export function dropBufferedPieces(run: Run): number {
  const bytes = run.bufferedBytes;
  run.firstBufferedIndex = run.pieceCount;
  run.bufferedPieces = [];
  run.bufferedBytes = 0;
  return bytes;
}

/** Resets the answer for an engine that resends it from the first piece. */
export function restartAnswer(run: Run): void {
  run.stream += 1;
  run.status = "running";
  run.firstBufferedIndex = 0;
  run.pieceCount = 0;
  run.checksum = 0;
  run.head = undefined;
}
