/**
 * Access to a rank through its agent, or directly to its runner while the agent
 * doesn't answer: a frozen or killed agent must not keep the whole group
 * waiting at a held step. Direct access returns no counts, because reading them
 * remotely makes the group pause.
 *
 * A response of an earlier incarnation is treated as a failure once a later one
 * was seen. An order that the earlier one accepted proves nothing, because the
 * later one knows neither the order nor its fencing token. If it counted as
 * done, a step could begin with this rank on the old map.
 */
import { raise, type Now } from "../internal.js";
import type { IncarnationStart } from "../membership/incarnation.js";
import { LatestIncarnation } from "./latest-incarnation.js";
import { expertsOfSameIncarnation } from "./rank-messages.js";
import {
  bytesOfMap,
  MapSender,
  type AgentResult,
  type ChangeOrder,
} from "./map-sender.js";
import type { RelayedMaps } from "./relayed-maps.js";
import type { SendWindow } from "./send-window.js";
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
 * Delay before an agent that timed out is called again, ms; each such call
 * costs the planner a quarter of a second.
 */
const UNRESPONSIVE_RETRY_MS = 1000;
/**
 * Delay before an agent that refused the connection is called again, ms. Only
 * agents provide counts: with the longer delay, a planner that is up before the
 * other agents after a restart of all VMs would have no counts for a second.
 */
const ABSENT_RETRY_MS = 100;
/**
 * A call that fails within this time means that no agent runs on the VM.
 */
const IMMEDIATE_FAILURE_MS = 50;

const EARLIER_INCARNATION = "response from an earlier incarnation";

/** Access to a rank through its agent only. */
export interface AgentRank {
  readonly observe: GroupRank["observe"];
  /** `members`: host:port of the group's runners; sent with maps. */
  readonly order: (
    order: AgentOrder | ChangeOrder,
    fence: OrderFence,
    members: readonly string[],
  ) => Promise<AgentResult>;
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
  /** Maps that this process knows; shared by its ranks. */
  readonly maps: RelayedMaps;
  /** Shared by all ranks of the process. */
  readonly window: SendWindow;
}

export function createReachableRank(options: ReachableRankOptions): GroupRank {
  const { address, agent, runner, now, members, maps, window } = options;
  const sender = MapSender.create({
    order: agent.order.bind(agent),
    members,
    maps,
    window,
  });
  const incarnations = LatestIncarnation.create(now);
  let retryAtMs = Number.NEGATIVE_INFINITY;
  const checkIncarnation = (startedAtMs: IncarnationStart): void => {
    const order = incarnations.observe(startedAtMs);
    if (order === "earlier")
      raise(1607, { address, reason: EARLIER_INCARNATION });
    // The VM may have restarted as a whole, so the agent may be back, too.
    if (order === "later") retryAtMs = Number.NEGATIVE_INFINITY;
  };
  const acceptState = (observation: Observation): Observation => {
    checkIncarnation(observation.state.startedAtMs);
    return observation;
  };
  const acceptResult = (result: OrderResult): OrderResult => {
    checkIncarnation(result.startedAtMs);
    return result;
  };
  const withFallback = async <T>(
    viaAgent: () => Promise<T>,
    viaRunner: () => Promise<T>,
  ): Promise<T> => {
    if (now() < retryAtMs) return viaRunner();
    const startedAtMs = now();
    try {
      return await viaAgent();
    } catch {
      // The runner may answer even if the agent doesn't.
      const isAbsent = now() - startedAtMs < IMMEDIATE_FAILURE_MS;
      retryAtMs = now() + (isAbsent ? ABSENT_RETRY_MS : UNRESPONSIVE_RETRY_MS);
      return viaRunner();
    }
  };
  const orderAgent = async (
    order: AgentOrder,
    fence: OrderFence,
  ): Promise<OrderResult> => {
    if (order.kind === "prepare") return sender.prepare(order, fence);
    const result = await agent.order(order, fence, []);
    // Only a change of a map needs a base.
    if (result.kind === "base-unknown")
      return raise(1607, { address, reason: result.kind });
    return result;
  };
  const orderRunner = (
    order: AgentOrder,
    fence: OrderFence,
  ): Promise<OrderResult> => {
    const send = (): Promise<OrderResult> => runner.order(order, fence);
    if (order.kind !== "prepare") return send();
    return window.send(bytesOfMap(order.sets), send);
  };
  return {
    address,
    observe: (request) =>
      withFallback(
        async () => {
          const observation = acceptState(await agent.observe(request));
          sender.onObserved(observation.knownMap);
          return observation;
        },
        async () =>
          acceptState(await observeRunner(runner, request.withExperts)),
      ),
    order: (order, fence) =>
      withFallback(
        async () => acceptResult(await orderAgent(order, fence)),
        async () => acceptResult(await orderRunner(order, fence)),
      ),
    // The hold goes directly to the runner, and the agent only guards it. The
    // VM that orders the hold may freeze right afterwards, so another VM must
    // be able to release the step.
    hold: async (hold) => {
      await agent.guard(hold);
      const order = { kind: "hold", step: hold.step } as const;
      return acceptResult(await runner.order(order, hold.fence));
    },
    isSuperseded: (startedAtMs) => incarnations.isSuperseded(startedAtMs),
  };
}

async function observeRunner(
  runner: RankPort,
  withExperts: boolean,
): Promise<Observation> {
  const state = await runner.observe();
  const held = withExperts ? await runner.experts() : undefined;
  const experts = expertsOfSameIncarnation(state, held);
  return { state, counts: [], countedMs: 0, experts };
}
