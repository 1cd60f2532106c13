/**
 * Which connections between processes are closed because of what they have sent
 * of messages that aren't complete, without I/O. The library for these messages
 * keeps their parts, each as an object, and tells only when one is complete.
 */

export interface PeerInput {
  /** Bytes read since the last complete message. */
  readonly unfinishedBytes: number;
}

export interface InputLimits {
  /** For all connections together, bytes. */
  readonly capacityBytes: number;
  /** Whether the process has little heap left. */
  readonly isHeapShort: boolean;
}

/**
 * Less than this isn't worth a connection, bytes: a few messages of ordinary
 * size may be on their way.
 */
const LEAST_UNFINISHED_BYTES = 64 * 1024;

/**
 * Returns connections to close, the largest first. With little heap left it is
 * one at a time: small parts take many times their length, which shows only
 * there.
 */
export function chooseUnfinished<T extends PeerInput>(
  inputs: readonly T[],
  { capacityBytes, isHeapShort }: InputLimits,
): readonly T[] {
  const largestFirst = inputs
    .filter(({ unfinishedBytes }) => unfinishedBytes > LEAST_UNFINISHED_BYTES)
    .sort((a, b) => b.unfinishedBytes - a.unfinishedBytes);
  let total = largestFirst.reduce(
    (sum, input) => sum + input.unfinishedBytes,
    0,
  );
  const chosen: T[] = [];
  for (const input of largestFirst) {
    const isForced = isHeapShort && chosen.length === 0;
    if (total <= capacityBytes && !isForced) break;
    chosen.push(input);
    total -= input.unfinishedBytes;
  }
  return chosen;
}
