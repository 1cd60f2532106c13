/** A service that gives one answer to every call. */
import { createServer } from "node:http";
import { listen, type Listening } from "../../src/daemon/listening.js";

export interface CannedAnswer {
  readonly status?: number;
  readonly body: Buffer | string;
}

export class CannedAnswers implements AsyncDisposable {
  private constructor(private readonly listening: Listening) {}

  /** `answer` is asked with the number of calls before. */
  static async create(
    answer: (calls: number) => CannedAnswer,
  ): Promise<CannedAnswers> {
    let calls = 0;
    const server = createServer((_request, response) => {
      const { status = 200, body } = answer(calls);
      calls += 1;
      response.writeHead(status).end(body);
    });
    const listening = await listen(server, { host: "127.0.0.1", port: 0 });
    return new CannedAnswers(listening);
  }

  /** host:port */
  get address(): string {
    return this.listening.address;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.listening[Symbol.asyncDispose]();
  }
}
