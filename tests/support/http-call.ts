/** One call over a connection of its own, with all that its caller sees. */
import { request as send } from "node:http";

export interface SeenAnswer {
  readonly status: number;
  readonly headers: Readonly<NodeJS.Dict<string | string[]>>;
  readonly body: string;
  /** How the connection ended under the answer; undefined when in order. */
  readonly fault: string | undefined;
}

export interface HttpCall {
  /** host:port */
  readonly address: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** The first bytes of the answer's body have come. */
  readonly onFirstPart?: (() => void) | undefined;
}

export function callHttp(call: HttpCall): Promise<SeenAnswer> {
  const { address, path, method = "GET", headers = {}, onFirstPart } = call;
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const request = send({ host, port, path, method, headers, agent: false });
    request.on("error", reject);
    request.once("response", (response) => {
      const parts: Buffer[] = [];
      let fault: string | undefined;
      // A reset within an answer without length or chunks is told by the
      // request only; the answer seems to have come to its end.
      request.off("error", reject).on("error", (error) => {
        fault = (error as NodeJS.ErrnoException).code ?? error.message;
      });
      response.on("data", (part: Buffer) => {
        if (parts.length === 0) onFirstPart?.();
        parts.push(part);
      });
      response.on("error", (error: NodeJS.ErrnoException) => {
        fault = error.code ?? error.message;
      });
      response.once("close", () => {
        const { statusCode: status = 0, headers: seen } = response;
        const body = Buffer.concat(parts).toString();
        resolve({ status, headers: seen, body, fault });
      });
    });
    request.end();
  });
}
