/** Polls the engine's load and reports it to every entry with a session. */
import * as z from "zod";
import type { LoadReport } from "../../internal.js";
import { pause } from "../background-task.js";
import type { RunnerClient } from "./runner-client.js";

/**
 * More frequent reports gain little: in measurements with stale reports, the
 * time to first token was hardly longer with a report every two seconds than
 * with five a second.
 */
const REPORT_INTERVAL_MS = 500;

const nonNegativeNumber = z.number().min(0);
const loadSchema = z.object({
  running: nonNegativeNumber,
  waiting: nonNegativeNumber,
  waitingTokens: nonNegativeNumber.default(0),
  freeBlocks: nonNegativeNumber.default(0),
  totalBlocks: nonNegativeNumber.default(0),
  ageMs: nonNegativeNumber.default(0),
  stepMs: nonNegativeNumber.default(0),
});

/** Runs until the signal aborts; throws if the request to the engine fails. */
export async function reportLoads(
  runner: RunnerClient,
  report: (load: LoadReport) => void,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const answer = await runner.getJson("/load", signal);
    const load = loadSchema.safeParse(answer);
    if (load.success) report(load.data);
    await pause(REPORT_INTERVAL_MS, signal);
  }
}
