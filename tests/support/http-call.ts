/**
 * Sends one HTTP request over its own connection and returns all that the
 * caller observes.
 */
import { request as sendRequest } from "node:http";

export interface ObservedResponse {
  readonly status: number;
  readonly headers: Readonly<NodeJS.Dict<string | string[]>>;
  readonly body: string;
  /**
   * Error that ended the connection during the response; undefined when it
   * ended without one.
   */
  readonly connectionError: string | undefined;
}

export interface HttpCall {
  /** Address in the form `host:port`. */
  readonly address: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Called when the first bytes of the body arrive. */
  readonly onFirstChunk?: (() => void) | undefined;
}

export function callHttp(call: HttpCall): Promise<ObservedResponse> {
  const { address, path, method = "GET", headers = {}, onFirstChunk } = call;
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const request = sendRequest({
      host,
      port,
      path,
      method,
      headers,
      agent: false,
    });
    request.on("error", reject);
    request.once("response", (response) => {
      const chunks: Buffer[] = [];
      let connectionError: string | undefined;
      // For a response without length or chunks, Node.js reports a reset only
      // on the request; the response seems to be complete.
      request.off("error", reject).on("error", (error) => {
        connectionError =
          (error as NodeJS.ErrnoException).code ?? error.message;
      });
      response.on("data", (chunk: Buffer) => {
        if (chunks.length === 0) onFirstChunk?.();
        chunks.push(chunk);
      });
      response.on("error", (error: NodeJS.ErrnoException) => {
        connectionError = error.code ?? error.message;
      });
      response.once("close", () => {
        const { statusCode: status = 0, headers: responseHeaders } = response;
        const body = Buffer.concat(chunks).toString();
        resolve({ status, headers: responseHeaders, body, connectionError });
      });
    });
    request.end();
  });
}
