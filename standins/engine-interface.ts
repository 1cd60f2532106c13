/**
 * The published interface of one engine of a group over HTTP: maps, weights,
 * steps and orders. Given to the engine stand-in as its extension.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EngineCall, Order, OrderKind } from "../src/internal.js";
import type { EngineGroup } from "./engine-group.js";
import { answerJson, readBody, type StandInCall } from "./http.js";

export interface EngineInterfaceFaults {
  /** So many answers are lost after the order took effect. */
  lostAnswers: number;
  /** Orders to load take effect this much later. */
  orderDelayMs: number;
}

export interface OrderRecord {
  readonly atMs: number;
  readonly order: Order;
}

export interface EngineInterface {
  readonly faults: EngineInterfaceFaults;
  /** Every order that took effect, in its order. */
  readonly effects: readonly OrderRecord[];
  readonly answer: (call: StandInCall) => Promise<boolean>;
}

export interface EngineInterfaceOptions {
  readonly group: EngineGroup;
  readonly member: string;
  readonly checksFencing: boolean;
}

const GONE = 503;

export function createEngineInterface(
  options: EngineInterfaceOptions,
): EngineInterface {
  const { group, member, checksFencing } = options;
  const faults: EngineInterfaceFaults = { lostAnswers: 0, orderDelayMs: 0 };
  const effects: OrderRecord[] = [];
  const values: Partial<Record<OrderKind, string>> = {};
  let fencing = -1;

  const send = (
    { response }: StandInCall,
    body: unknown,
    accepted: boolean,
  ): void => {
    if (faults.lostAnswers > 0) {
      faults.lostAnswers -= 1;
      response.destroy();
    } else answerJson(response, body, accepted ? 200 : 409);
  };

  const answerMap = async (call: StandInCall): Promise<void> => {
    const { method, request, response } = call;
    const text = method === "POST" ? await readBody(request) : undefined;
    const order = text === undefined ? readCall(call) : parseCall(call, text);
    const result = group.call(member, order, Date.now());
    if (result === undefined) answerJson(response, { error: "gone" }, GONE);
    else send(call, result.answer, result.accepted);
  };

  const answerWeights = async (call: StandInCall): Promise<void> => {
    const query = (name: string): number =>
      Number(call.url.searchParams.get(name));
    const { length } = await readBody(call.request);
    const weight = {
      rank: query("rank"),
      layer: query("layer"),
      expert: query("expert"),
    };
    const held = group.putWeight(member, weight, query("offset"), length);
    send(call, { heldBytes: held ?? 0 }, true);
  };

  const answerOrder = async (call: StandInCall): Promise<void> => {
    const state = (): unknown => ({ engine: member, values, fencing });
    if (call.method === "GET") {
      send(call, state(), true);
      return;
    }
    const order = JSON.parse(String(await readBody(call.request))) as Order;
    await sleep(faults.orderDelayMs);
    if (checksFencing && order.fencing < fencing) {
      send(call, state(), false);
      return;
    }
    fencing = Math.max(fencing, order.fencing);
    values[order.kind] = order.value;
    effects.push({ atMs: Date.now(), order });
    send(call, state(), true);
  };

  const answer = async (call: StandInCall): Promise<boolean> => {
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

  return { faults, effects, answer };
}

function readCall({ url }: StandInCall): EngineCall {
  return { kind: "read", withMap: url.searchParams.get("map") === "true" };
}

function parseCall({ url }: StandInCall, text: Buffer): EngineCall {
  const kind = url.pathname.split("/").at(-1);
  const body = JSON.parse(text.toString()) as Record<string, unknown>;
  if (kind !== "arm") return { ...body, kind } as unknown as EngineCall;
  const { map, groupIncarnation, ...rest } = body;
  const proposal = { ...rest, group: groupIncarnation };
  return { kind, proposal, map } as unknown as EngineCall;
}

/** Lets the group's engines step in real time until it is stopped. */
export function driveGroup(group: EngineGroup): () => void {
  const timer = setInterval(() => {
    group.advance(Date.now());
  }, 1);
  return () => {
    clearInterval(timer);
  };
}
