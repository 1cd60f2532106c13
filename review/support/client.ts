/** A client of the deployment, over connections that it keeps open. */
import { request, type Agent, type IncomingHttpHeaders } from "node:http";

export interface ClientRequest {
  readonly port: number;
  readonly hostname: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly credential: string;
  readonly deadlineMs: number;
  readonly body?: Buffer | string;
  readonly agent: Agent | false;
  readonly headers?: Readonly<NodeJS.Dict<string>>;
}

/** What the client saw of one attempt; times are ms of the script. */
export interface ClientResult {
  readonly attemptId: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if the connection ended before a response. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response was whole, by its framing. */
  readonly isComplete: boolean;
  readonly error: string;
}

export function send(call: ClientRequest): Promise<ClientResult> {
  const { attemptId } = call;
  let sentAtMs = performance.now();
  return new Promise((resolve) => {
    const finish = (
      result: Pick<ClientResult, "status" | "headers" | "body" | "isComplete">,
      error = "",
    ): void => {
      const endedAtMs = performance.now();
      resolve({ attemptId, sentAtMs, endedAtMs, error, ...result });
    };
    const outgoing = request({
      host: "127.0.0.1",
      port: call.port,
      path: call.path,
      method: call.method,
      agent: call.agent,
      headers: {
        host: call.hostname,
        "apricotdeck-attempt-id": attemptId,
        "apricotdeck-credential": call.credential,
        "apricotdeck-deadline-ms": String(call.deadlineMs),
        ...call.headers,
      },
    });
    const nothing = { status: 0, headers: {}, body: "", isComplete: false };
    const onEarlyError = ({ message }: Error): void => {
      finish(nothing, message);
    };
    outgoing.once("error", onEarlyError);
    outgoing.once("finish", () => {
      sentAtMs = performance.now();
    });
    outgoing.once("response", (response) => {
      let error = "";
      outgoing.off("error", onEarlyError);
      outgoing.on("error", ({ message }) => {
        error = message;
      });
      response.on("error", ({ message }) => {
        error = message;
      });
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.once("close", () => {
        const { statusCode: status = 0, headers, complete } = response;
        const body = Buffer.concat(chunks).toString();
        const isComplete = complete && error === "";
        finish({ status, headers, body, isComplete }, error);
      });
    });
    outgoing.end(call.body);
  });
}
