/**
 * A rank by way of the agent beside it, or straight at its runner while the
 * agent doesn't answer: a frozen or killed agent must not keep its whole group
 * waiting at a held step. Counts are left out then; reading them from afar
 * makes the group pause.
 *
 * What an earlier life of the runner says, once a later one was seen, counts as
 * no answer: an order that it took proves nothing, because the later life knows
 * neither the order nor its fencing number. Taken for done, a step could begin
 * with this rank on the old map.
 */
import { raise, type Now } from "../internal.js";
import type { LifeStart } from "../membership/life.js";
import { LatestLife } from "./latest-life.js";
import { expertsOf } from "./rank-messages.js";
import type {
  AgentOrder,
  GroupRank,
  Observation,
  OrderFence,
  OrderResult,
  RankPort,
  WatchedHold,
} from "./types.js";

/**
 * An agent that didn't answer is asked again after this time, ms: every such
 * call takes a quarter of a second from the planner.
 */
const SILENT_RETRY_MS = 1000;
/**
 * An agent that isn't there, which shows at once, is asked again after this
 * time, ms. Only agents give counts: after a restart of all VMs the planner had
 * none for the second that it waited for the agents it had been ahead of.
 */
const ABSENT_RETRY_MS = 100;
/** A failure within this time comes from a VM without an agent, ms. */
const AT_ONCE_MS = 50;

const EARLIER_LIFE = "answer of an earlier life";

/** A rank by way of its agent alone. */
export interface AgentRank {
  readonly observe: GroupRank["observe"];
  /** `members`: host:port of the group's runners, with a map to prepare. */
  readonly order: (
    order: AgentOrder,
    fence: OrderFence,
    members: readonly string[],
  ) => Promise<OrderResult>;
  readonly guard: (hold: WatchedHold) => Promise<void>;
}

export interface ReachableRankOptions {
  /** host:port of the runner. */
  readonly address: string;
  readonly agent: AgentRank;
  readonly runner: RankPort;
  readonly now: Now;
  /** host:port of all runners of the group. */
  readonly members: () => readonly string[];
}

export function createReachableRank(options: ReachableRankOptions): GroupRank {
  const { address, agent, runner, now, members } = options;
  const lives = LatestLife.create(now);
  let retryAtMs = Number.NEGATIVE_INFINITY;
  const admit = (startedAtMs: LifeStart): void => {
    const order = lives.see(startedAtMs);
    if (order === "earlier") raise(1607, { address, reason: EARLIER_LIFE });
    // The agent that was silent beside the earlier life may be back as well.
    if (order === "later") retryAtMs = Number.NEGATIVE_INFINITY;
  };
  const admitState = (seen: Observation): Observation => {
    admit(seen.state.startedAtMs);
    return seen;
  };
  const admitResult = (result: OrderResult): OrderResult => {
    admit(result.startedAtMs);
    return result;
  };
  const attempt = async <T>(
    over: () => Promise<T>,
    otherwise: () => Promise<T>,
  ): Promise<T> => {
    if (now() < retryAtMs) return otherwise();
    const startedAtMs = now();
    try {
      return await over();
    } catch {
      // Whatever kept the agent from answering: the runner itself may.
      const isAbsent = now() - startedAtMs < AT_ONCE_MS;
      retryAtMs = now() + (isAbsent ? ABSENT_RETRY_MS : SILENT_RETRY_MS);
      return otherwise();
    }
  };
  return {
    address,
    observe: (request) =>
      attempt(
        async () => admitState(await agent.observe(request)),
        async () =>
          admitState(await observeRunner(runner, request.withExperts)),
      ),
    order: (order, fence) =>
      attempt(
        async () => {
          const told = order.kind === "prepare" ? members() : [];
          return admitResult(await agent.order(order, fence, told));
        },
        async () => admitResult(await runner.order(order, fence)),
      ),
    // Given straight to the runner: the agent's VM only has to let the step go.
    // The VM that orders a hold may stand still right after it, and then the
    // one that can let the step go must not be the same.
    hold: async (hold) => {
      await agent.guard(hold);
      const order = { kind: "hold", step: hold.step } as const;
      return admitResult(await runner.order(order, hold.fence));
    },
    isOver: (startedAtMs) => lives.isOver(startedAtMs),
  };
}

async function observeRunner(
  runner: RankPort,
  withExperts: boolean,
): Promise<Observation> {
  const state = await runner.observe();
  const held = withExperts ? await runner.experts() : undefined;
  const experts = expertsOf(state, held);
  return { state, counts: [], countedMs: 0, experts };
}
