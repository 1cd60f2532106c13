/**
 * A rank by way of the agent beside it, or straight at its runner while the
 * agent doesn't answer: a frozen or killed agent must not keep its whole group
 * waiting at a held step. Counts are left out then; reading them from afar
 * makes the group pause.
 */
import type { Now } from "../internal.js";
import type { GroupRank } from "./group-planner.js";
import type { Observation } from "./rank-messages.js";
import type { RankPort } from "./types.js";

/** An agent that didn't answer is asked again after this time, ms. */
const AGENT_RETRY_MS = 1000;

export interface ReachableRankOptions {
  /** host:port of the runner. */
  readonly address: string;
  readonly agent: Omit<GroupRank, "address">;
  readonly runner: RankPort;
  readonly now: Now;
}

export function createReachableRank(options: ReachableRankOptions): GroupRank {
  const { address, agent, runner, now } = options;
  let retryAtMs = Number.NEGATIVE_INFINITY;
  const attempt = async <T>(
    over: () => Promise<T>,
    otherwise: () => Promise<T>,
  ): Promise<T> => {
    if (now() < retryAtMs) return otherwise();
    try {
      return await over();
    } catch {
      // Whatever kept the agent from answering: the runner itself may.
      retryAtMs = now() + AGENT_RETRY_MS;
      return otherwise();
    }
  };
  return {
    address,
    observe: (request) =>
      attempt(
        () => agent.observe(request),
        () => observeRunner(runner, request.withExperts),
      ),
    order: (order, fence) =>
      attempt(
        () => agent.order(order, fence),
        () => runner.order(order, fence),
      ),
  };
}

async function observeRunner(
  runner: RankPort,
  withExperts: boolean,
): Promise<Observation> {
  const state = await runner.observe();
  const experts = withExperts ? await runner.experts() : [];
  return { state, counts: [], countedMs: 0, experts };
}
