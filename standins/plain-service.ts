/**
 * Simulates a plain HTTP service that answers every call with JSON and records
 * the requests it executed.
 */
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { sendJson, readBody, startServer, type StandInServer } from "./http.js";

export interface PlainServiceStandIn extends StandInServer {
  /** Request ids in execution order. */
  readonly executedRequestIds: readonly string[];
  /** Request bodies in execution order. */
  readonly bodies: readonly string[];
  readonly faults: PlainServiceFaults;
}

export interface PlainServiceFaults {
  delayMs: number;
  cutAnswers: number;
  /** Writes a raw response to the socket instead of the JSON answer. */
  answerRaw: ((socket: Socket) => void) | undefined;
}

export async function startPlainService(
  port = 0,
): Promise<PlainServiceStandIn> {
  const executedRequestIds: string[] = [];
  const bodies: string[] = [];
  const faults: PlainServiceFaults = {
    delayMs: 0,
    cutAnswers: 0,
    answerRaw: undefined,
  };
  const server = await startServer(
    async ({ method, url, request, response }) => {
      const body = await readBody(request);
      const id = String(request.headers["x-request-id"] ?? "");
      executedRequestIds.push(id);
      bodies.push(body.toString());
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      if (faults.cutAnswers > 0) {
        faults.cutAnswers -= 1;
        response.destroy();
        return;
      }
      if (faults.answerRaw !== undefined) {
        faults.answerRaw(request.socket);
        return;
      }
      const path = url.pathname;
      sendJson(response, { id, method, path, echo: body.toString() });
    },
    port,
  );
  return { ...server, executedRequestIds, bodies, faults };
}
