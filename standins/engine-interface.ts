/**
 * HTTP endpoints of one engine of a group: expert maps, weights, step reports
 * and orders. Passed to the simulated engine as its extension.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EngineCall, Order, OrderKind } from "../src/internal.js";
import type { EngineGroup } from "./engine-group.js";
import { sendJson, readBody, type StandInCall } from "./http.js";

export interface EngineInterfaceFaults {
  /** Number of upcoming responses to drop after the call was applied. */
  responsesToDrop: number;
  /** Delay before an order is applied. */
  orderDelayMs: number;
}

export interface OrderRecord {
  readonly atMs: number;
  readonly order: Order;
}

export interface EngineInterface {
  readonly faults: EngineInterfaceFaults;
  /** Every applied order, in the order of application. */
  readonly appliedOrders: readonly OrderRecord[];
  readonly handleCall: (call: StandInCall) => Promise<boolean>;
}

export interface EngineInterfaceOptions {
  readonly group: EngineGroup;
  readonly member: string;
  readonly checksFencing: boolean;
}

const HTTP_UNAVAILABLE = 503;

export function createEngineInterface(
  options: EngineInterfaceOptions,
): EngineInterface {
  const { group, member, checksFencing } = options;
  const faults: EngineInterfaceFaults = {
    responsesToDrop: 0,
    orderDelayMs: 0,
  };
  const appliedOrders: OrderRecord[] = [];
  const values: Partial<Record<OrderKind, string>> = {};
  let highestFencing = -1;

  const send = (
    { response }: StandInCall,
    body: unknown,
    accepted: boolean,
  ): void => {
    if (faults.responsesToDrop > 0) {
      faults.responsesToDrop -= 1;
      response.destroy();
    } else sendJson(response, body, accepted ? 200 : 409);
  };

  const answerMap = async (call: StandInCall): Promise<void> => {
    const { method, request, response } = call;
    const text = method === "POST" ? await readBody(request) : undefined;
    const engineCall =
      text === undefined ? parseReadCall(call) : parseMapCall(call, text);
    const result = group.call(member, engineCall, Date.now());
    if (result === undefined)
      sendJson(response, { error: "gone" }, HTTP_UNAVAILABLE);
    else send(call, result.answer, result.accepted);
  };

  const answerWeights = async (call: StandInCall): Promise<void> => {
    const queryNumber = (name: string): number =>
      Number(call.url.searchParams.get(name));
    const { length } = await readBody(call.request);
    const weight = {
      rank: queryNumber("rank"),
      layer: queryNumber("layer"),
      expert: queryNumber("expert"),
    };
    const heldBytes = group.putWeight(
      member,
      weight,
      queryNumber("offset"),
      length,
    );
    send(call, { heldBytes: heldBytes ?? 0 }, true);
  };

  const answerOrder = async (call: StandInCall): Promise<void> => {
    const engineState = (): unknown => ({
      engine: member,
      values,
      fencing: highestFencing,
    });
    if (call.method === "GET") {
      send(call, engineState(), true);
      return;
    }
    const order = JSON.parse(String(await readBody(call.request))) as Order;
    await sleep(faults.orderDelayMs);
    if (checksFencing && order.fencing < highestFencing) {
      send(call, engineState(), false);
      return;
    }
    highestFencing = Math.max(highestFencing, order.fencing);
    values[order.kind] = order.value;
    appliedOrders.push({ atMs: Date.now(), order });
    send(call, engineState(), true);
  };

  const handleCall = async (call: StandInCall): Promise<boolean> => {
    const { pathname, searchParams } = call.url;
    if (pathname === "/expert-map/weights") await answerWeights(call);
    else if (pathname.startsWith("/expert-map")) await answerMap(call);
    else if (pathname === "/orders") await answerOrder(call);
    else if (pathname === "/steps") {
      const from = Number(searchParams.get("from") ?? 0);
      const reports = group.reports(member, from, Date.now());
      send(call, { reports }, true);
    } else return false;
    return true;
  };

  return { faults, appliedOrders, handleCall };
}

function parseReadCall({ url }: StandInCall): EngineCall {
  return { kind: "read", withMap: url.searchParams.get("map") === "true" };
}

function parseMapCall({ url }: StandInCall, text: Buffer): EngineCall {
  const kind = url.pathname.split("/").at(-1);
  const body = JSON.parse(text.toString()) as Record<string, unknown>;
  if (kind !== "arm") return { ...body, kind } as unknown as EngineCall;
  const { map, groupIncarnation, ...rest } = body;
  const proposal = { ...rest, group: groupIncarnation };
  return { kind, proposal, map } as unknown as EngineCall;
}

/** Advances the group's engines in real time; returns a stop function. */
export function startGroupTimer(group: EngineGroup): () => void {
  const timer = setInterval(() => {
    group.advance(Date.now());
  }, 1);
  return () => {
    clearInterval(timer);
  };
}
