/** Generates calls at a given mean rate until stopped. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/internal.js";
import { makeCall, type Caller, type CallResult } from "./callers.js";

export interface LoadGenerator {
  /** Stops starting calls and waits for those in flight. */
  readonly finish: () => Promise<readonly CallResult[]>;
}

export function startLoad(caller: Caller, perSecond: number): LoadGenerator {
  const inFlight: Promise<CallResult>[] = [];
  let stopped = false;
  const run = async (): Promise<void> => {
    while (!isStopped()) {
      inFlight.push(makeCall(caller));
      await sleep(waitMs(caller.random, perSecond));
    }
  };
  const isStopped = (): boolean => stopped;
  const running = run();
  return {
    finish: async () => {
      stopped = true;
      await running;
      return Promise.all(inFlight);
    },
  };
}

/** Exponential interval: calls arrive as a Poisson process, in bursts. */
function waitMs(random: Random, perSecond: number): number {
  return (-Math.log(1 - random()) / perSecond) * 1000;
}
