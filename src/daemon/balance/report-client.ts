/** Sends window reports to the agent that plans for the group. */
import { Metadata } from "@grpc/grpc-js";
import type { RankReport } from "../../internal.js";
import { ExpertBalanceClient } from "../../wire/generated/balance.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { channelOptions, clientCredentials } from "../transport.js";

const REPORT_TIMEOUT_MS = 1000;

export class ReportClient implements Disposable {
  private client: ExpertBalanceClient | undefined;
  private address = "";

  private constructor(
    private readonly context: ProcessContext,
    private readonly transport: TransportSettings,
  ) {}

  static create(
    context: ProcessContext,
    transport: TransportSettings,
  ): ReportClient {
    return new ReportClient(context, transport);
  }

  /** Doesn't retry: the window of a lost report continues without it. */
  send(address: string, group: string, report: RankReport): void {
    const clock = this.context.clock.read();
    const { rank, window, mapVersion, busySeconds, requestTokens } = report;
    const tokens = Array.from(report.tokens);
    const measurements = { tokens, busySeconds, requestTokens };
    const message = { clock, group, rank, window, mapVersion, ...measurements };
    const options = { deadline: Date.now() + REPORT_TIMEOUT_MS };
    this.connect(address).reportWindow(
      message,
      new Metadata(),
      options,
      () => undefined,
    );
  }

  [Symbol.dispose](): void {
    this.client?.close();
    this.client = undefined;
  }

  private connect(address: string): ExpertBalanceClient {
    if (this.client !== undefined && address === this.address) {
      return this.client;
    }
    this.client?.close();
    const credentials = clientCredentials(this.transport, address);
    this.client = new ExpertBalanceClient(address, credentials, channelOptions);
    this.address = address;
    return this.client;
  }
}
