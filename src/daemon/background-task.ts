/** Runs long-lived tasks and restarts them, with backoff after failures. */
import { setTimeout as sleep } from "node:timers/promises";
import { toFailure, type Emit } from "../internal.js";

const INITIAL_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 2000;

export interface TaskOptions {
  readonly name: string;
  readonly emit: Emit;
  readonly signal: AbortSignal;
  /** Restarted after a pause, whether it returns or throws. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

export async function runTask(options: TaskOptions): Promise<void> {
  const { name, emit, signal, run } = options;
  let backoffMs = INITIAL_BACKOFF_MS;
  while (!signal.aborted) {
    try {
      await run(signal);
      backoffMs = INITIAL_BACKOFF_MS;
    } catch (error) {
      if (isAborted(signal)) return;
      const { number, message } = toFailure(error, 1215);
      emit(105, { task: name, error: number, reason: message });
      backoffMs = Math.min(backoffMs * 2, MAXIMUM_BACKOFF_MS);
    }
    await pause(backoffMs, signal);
  }
}

/** Waits, or returns early when the signal aborts. */
export async function pause(
  durationMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (durationMs <= 0) return;
  try {
    await sleep(durationMs, undefined, { signal });
  } catch {
    // Aborted: the caller checks the signal.
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
