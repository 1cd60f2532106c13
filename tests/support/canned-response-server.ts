/** HTTP server that sends canned responses. */
import { createServer } from "node:http";
import { listen, type ListeningServer } from "../../src/daemon/listening.js";

export interface CannedResponse {
  readonly status?: number;
  readonly body: Buffer | string;
}

export class CannedResponseServer implements AsyncDisposable {
  private constructor(private readonly listening: ListeningServer) {}

  /** `respond` receives the number of earlier requests. */
  static async create(
    respond: (requestCount: number) => CannedResponse,
  ): Promise<CannedResponseServer> {
    let requestCount = 0;
    const server = createServer((_request, response) => {
      const { status = 200, body } = respond(requestCount);
      requestCount += 1;
      response.writeHead(status).end(body);
    });
    const listening = await listen(server, { host: "127.0.0.1", port: 0 });
    return new CannedResponseServer(listening);
  }

  /** Address in the form `host:port`. */
  get address(): string {
    return this.listening.address;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.listening[Symbol.asyncDispose]();
  }
}
