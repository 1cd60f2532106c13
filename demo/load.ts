/** Calls at a steady rate until told to stop. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/internal.js";
import { makeCall, type Caller, type CallResult } from "./callers.js";

export interface Load {
  /** Starts no more calls and waits for the open ones. */
  readonly finish: () => Promise<readonly CallResult[]>;
}

export function startLoad(caller: Caller, perSecond: number): Load {
  const open: Promise<CallResult>[] = [];
  let stopped = false;
  const run = async (): Promise<void> => {
    while (!isStopped()) {
      open.push(makeCall(caller));
      await sleep(waitMs(caller.random, perSecond));
    }
  };
  const isStopped = (): boolean => stopped;
  const running = run();
  return {
    finish: async () => {
      stopped = true;
      await running;
      return Promise.all(open);
    },
  };
}

/** Random gaps, so that calls come in bunches as they do from people. */
function waitMs(random: Random, perSecond: number): number {
  return (-Math.log(1 - random()) / perSecond) * 1000;
}
