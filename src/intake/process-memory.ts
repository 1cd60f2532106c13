/** Memory that a process may use. */
import { getHeapStatistics } from "node:v8";

const MIB = 1024 * 1024;

/** Without a setting, the limit of the heap counts. Returns bytes. */
export function memoryBytesOf({
  memoryMb,
}: {
  readonly memoryMb?: number | undefined;
}): number {
  return memoryMb === undefined
    ? getHeapStatistics().heap_size_limit
    : memoryMb * MIB;
}
