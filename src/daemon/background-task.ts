/** Runs a task that must not end, again and again after failures. */
import { setTimeout as sleep } from "node:timers/promises";
import { toFailure, type Emit } from "../internal.js";

const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 2000;

export interface TaskOptions {
  readonly name: string;
  readonly emit: Emit;
  readonly signal: AbortSignal;
  /** Ends by returning or throwing; both start it again after a pause. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

export async function runTask(options: TaskOptions): Promise<void> {
  const { name, emit, signal, run } = options;
  let pauseMs = FIRST_PAUSE_MS;
  while (!signal.aborted) {
    try {
      await run(signal);
      pauseMs = FIRST_PAUSE_MS;
    } catch (error) {
      if (isAborted(signal)) return;
      const { number, message } = toFailure(error, 1215);
      emit(105, { task: name, error: number, reason: message });
      pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
    }
    await pause(pauseMs, signal);
  }
}

/** Waits, or returns early when the signal aborts. */
export async function pause(ms: number, signal: AbortSignal): Promise<void> {
  if (ms <= 0) return;
  try {
    await sleep(ms, undefined, { signal });
  } catch {
    // Aborted: the caller looks at the signal.
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
