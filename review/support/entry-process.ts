/** Starts entries as processes, with the command of the deploy file. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer, type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import type { CaseRecord } from "./record.js";

import { fillTemplate } from "./template.js";

const DEPLOY_FILE = "deploy/system.toml";
const RUN_LINE = /\[roles\.entry\][\s\S]*?\nrun = "([^"]+)"/;
const TEMPLATE_LINE = /\[roles\.entry\][\s\S]*?\ntemplate = "([^"]+)"/;
const READY_TIMEOUT_MS = 15_000;

/** Bounds of the small deployments' sheets. */
export const BOUNDS = {
  stable_ms: 3000,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
} as const;

export interface EntryOptions {
  readonly name: string;
  /** host:port of the platform's store. */
  readonly store: string;
  readonly record: CaseRecord;
}

export class EntryProcess {
  /** When the process has ended, ms of the script; undefined while it runs. */
  endedAtMs: number | undefined;

  private constructor(
    readonly name: string,
    readonly child: ChildProcess,
    readonly host: string,
    readonly callersPort: number,
    private readonly readinessPort: number,
    private readonly folder: string,
  ) {}

  static async start(options: EntryOptions): Promise<EntryProcess> {
    const { name, store, record } = options;
    const host = "127.0.0.1";
    const ports = await freePorts(host, 3);
    const [callersPort, readinessPort, metricsPort] = ports;
    const deploy = readFileSync(DEPLOY_FILE, "utf8");
    const template = readFileSync(matchOf(deploy, TEMPLATE_LINE), "utf8");
    const fields = {
      node_name: name,
      zone: "lac-hall",
      ip: host,
      listen: {
        frontend: `${host}:${callersPort}`,
        readiness: `${host}:${readinessPort}`,
      },
      platform: { address: store, ttl_min_ms: 1000 },
      limits: { memory_mb: 350 },
      bounds: BOUNDS,
    };
    // The port of the metrics is fixed in the template; several entries share
    // one address here.
    const settings = fillTemplate(template, fields).replace(
      /"127\.0\.0\.1:9464"/,
      `"${host}:${metricsPort}"`,
    );
    const folder = mkdtempSync(path.join(tmpdir(), "review-"));
    const file = path.join(folder, "settings.jsonc");
    writeFileSync(file, settings);
    const [command, ...words] = matchOf(deploy, RUN_LINE).split(" ");
    const child = spawn(
      command === "node" ? process.execPath : command,
      words,
      {
        env: { PATH: process.env.PATH, APRICOTDECK_BOOT: file },
        stdio: ["ignore", "ignore", "pipe"],
      },
    );
    const entry = new EntryProcess(
      name,
      child,
      host,
      callersPort,
      readinessPort,
      folder,
    );
    child.stderr.on("data", (data: Buffer) => {
      record.add(`${name} stderr: ${data.toString().trim()}`);
    });
    child.once("exit", (code, signal) => {
      entry.endedAtMs = performance.now();
      record.add(`${name} ended, code ${code ?? "-"}, signal ${signal ?? "-"}`);
    });
    return entry;
  }

  get isRunning(): boolean {
    return this.endedAtMs === undefined;
  }

  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  async waitUntilReady(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while ((await this.readiness()) !== 200) {
      if (performance.now() > deadlineMs) {
        throw new Error(`${this.name} isn't ready in time`);
      }
      await sleepMs(50);
    }
  }

  async stop(): Promise<void> {
    if (this.isRunning) {
      const ended = once(this.child, "exit");
      this.child.kill("SIGKILL");
      await ended;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async readiness(): Promise<number> {
    return new Promise((resolve) => {
      const call = request({
        host: this.host,
        port: this.readinessPort,
        path: "/-/readyz",
        agent: false,
      });
      call.once("error", () => {
        resolve(0);
      });
      call.once("response", (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      });
      call.end();
    });
  }
}

export function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function freePorts(
  host: string,
  count: number,
): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () =>
    createServer().listen(0, host),
  );
  await Promise.all(servers.map((server) => once(server, "listening")));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) server.close();
  await Promise.all(servers.map((server) => once(server, "close")));
  return ports;
}

function matchOf(text: string, pattern: RegExp): string {
  const found = pattern.exec(text)?.[1];
  if (found === undefined) {
    throw new Error(`${DEPLOY_FILE} has no ${pattern.source}`);
  }
  return found;
}
