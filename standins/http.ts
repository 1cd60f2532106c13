/** Minimal HTTP server for the simulated services; port 0 picks a free port. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

export interface StandInServer extends AsyncDisposable {
  readonly address: string;
}

export interface StandInCall {
  readonly method: string;
  readonly url: URL;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

export type StandInHandler = (call: StandInCall) => Promise<void> | void;

export async function startServer(
  handler: StandInHandler,
  port = 0,
): Promise<StandInServer> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://standin");
    const call = { method: request.method ?? "", url, request, response };
    void (async () => {
      try {
        await handler(call);
      } catch {
        response.destroy();
      }
    })();
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => {
    server.listen(port, "127.0.0.1", resolve);
  });
  const { port: assignedPort } = server.address() as AddressInfo;
  return {
    address: `http://127.0.0.1:${assignedPort}`,
    async [Symbol.asyncDispose]() {
      await new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      });
    },
  };
}

export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

export function sendJson(
  response: ServerResponse,
  body: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
