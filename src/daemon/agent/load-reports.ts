/**
 * Reads the engine's load and passes it on to all entries with a session. The
 * period follows the measurement of stale reports: with reports every two
 * seconds first tokens came hardly later than with five a second.
 */
import { z } from "zod";
import type { LoadReport } from "../../internal.js";
import { pause } from "../background-task.js";
import type { RunnerClient } from "./runner-client.js";

const PERIOD_MS = 500;

const count = z.number().min(0);
const loadSchema = z.object({
  running: count,
  waiting: count,
  waitingTokens: count.default(0),
  freeBlocks: count.default(0),
  totalBlocks: count.default(0),
  ageMs: count.default(0),
  stepMs: count.default(0),
});

/** Runs until the signal aborts; throws when the engine can't be read. */
export async function reportLoads(
  runner: RunnerClient,
  report: (load: LoadReport) => void,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const answer = await runner.getJson("/load", signal);
    const load = loadSchema.safeParse(answer);
    if (load.success) report(load.data);
    await pause(PERIOD_MS, signal);
  }
}
