/**
 * Stand-in of a plain service, such as valve records: one JSON answer a call,
 * with a record of what ran.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerJson,
  readBody,
  startServer,
  type StandInServer,
} from "./http.js";

export interface PlainServiceStandIn extends StandInServer {
  /** Request ids in the order in which they ran. */
  readonly ran: readonly string[];
  /** Bodies in the same order. */
  readonly bodies: readonly string[];
  readonly faults: { delayMs: number; cutAnswers: number };
}

export async function startPlainService(
  port = 0,
): Promise<PlainServiceStandIn> {
  const ran: string[] = [];
  const bodies: string[] = [];
  const faults = { delayMs: 0, cutAnswers: 0 };
  const server = await startServer(
    async ({ method, url, request, response }) => {
      const body = await readBody(request);
      const id = String(request.headers["x-request-id"] ?? "");
      ran.push(id);
      bodies.push(body.toString());
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      if (faults.cutAnswers > 0) {
        faults.cutAnswers -= 1;
        response.destroy();
        return;
      }
      const path = url.pathname;
      answerJson(response, { id, method, path, echo: body.toString() });
    },
    port,
  );
  return { ...server, ran, bodies, faults };
}
