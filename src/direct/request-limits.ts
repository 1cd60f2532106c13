/**
 * When a request may be sent to a runner: limits that it names, and the rate of
 * a cold one.
 */
import type { ColdRunners } from "../limits/cold-runners.js";
import type { ColdShares } from "../limits/cold-shares.js";
import type { RunnerLimits } from "../limits/runner-limits.js";
import type { RequestLimits } from "./runner.js";

export interface RequestLimitsParts {
  readonly limits: Pick<RunnerLimits, "isOpen" | "onSent" | "forget">;
  readonly coldRunners: Pick<
    ColdRunners,
    "isCold" | "rateOf" | "onUnreachable" | "onLost"
  >;
  readonly coldShares: ColdShares;
}

export function createRequestLimits({
  limits,
  coldRunners,
  coldShares,
}: RequestLimitsParts): RequestLimits {
  const isOpenIfCold = (runner: string): boolean => {
    const rate = coldRunners.rateOf(runner);
    return rate === undefined || coldShares.isOpen(runner, rate);
  };
  return {
    isOpen: (runner) => limits.isOpen(runner) && isOpenIfCold(runner),
    onSent: (runner) => {
      limits.onSent(runner);
      const rate = coldRunners.rateOf(runner);
      if (rate === undefined) coldShares.forget(runner);
      else coldShares.onSent(runner, rate);
    },
    forget: (runner) => {
      limits.forget(runner);
      coldShares.forget(runner);
    },
    isCold: (runner) => coldRunners.isCold(runner),
    onUnreachable: (runner) => {
      coldRunners.onUnreachable(runner);
    },
    onLost: (runner) => {
      coldRunners.onLost(runner);
    },
  };
}
