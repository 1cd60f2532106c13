/** What a process may use while its clients keep to no limits. */
import * as assert from "uvu/assert";
import type { MeasuredProcess } from "../support/measured-process.js";

/** Memory of an entry's VM and of its heap's old generation, MiB. */
export const ENTRY_MEMORY_MB = 250;
const ENTRY_HEAP_MB = 200;
/** Memory of a backend server's VM and of the agent's heap, MiB. */
export const AGENT_MEMORY_MB = 218;
const AGENT_HEAP_MB = 120;
const DESCRIPTORS = 512;
/** Descriptors kept for sockets to runners, to the store, and for files. */
const OWN_DESCRIPTORS = 64;
/** Descriptors of an entry that is reached by many connections. */
const MANY_DESCRIPTORS = 4100;

export const ENTRY_LIMITS = { heapMb: ENTRY_HEAP_MB, descriptors: DESCRIPTORS };
export const AGENT_LIMITS = { heapMb: AGENT_HEAP_MB, descriptors: DESCRIPTORS };
export const LARGE_ENTRY_LIMITS = {
  heapMb: ENTRY_HEAP_MB,
  descriptors: MANY_DESCRIPTORS,
};

export function assertWithin(
  process: MeasuredProcess,
  memoryMb: number,
  descriptors: number = DESCRIPTORS,
): void {
  assert.ok(process.isRunning, `the process runs: ${process.output}`);
  const { peakMemoryMb, openDescriptors } = process;
  assert.ok(peakMemoryMb <= memoryMb, `memory: ${peakMemoryMb} MiB`);
  const most = descriptors - OWN_DESCRIPTORS;
  assert.ok(openDescriptors <= most, `descriptors: ${openDescriptors}`);
}
