/** Starts an entry of the direct path as a process of its own. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { paths } from "../../platform/names.js";
import {
  PLATFORM_PROGRAM,
  SETTINGS_VARIABLE,
  freeAddress,
} from "./platform-program.js";
import { pause } from "./wait.js";

const POLL_INTERVAL_MS = 20;

export class EntryProcess implements AsyncDisposable {
  private constructor(
    private readonly child: ChildProcess,
    private readonly folder: string,
    /** Address for callers, in the form `host:port`. */
    readonly callers: string,
    private readonly readiness: string,
  ) {}

  /** Resolves when the entry is ready. `store`: address of the store. */
  static async create(
    store: string,
    graceSeconds: number,
  ): Promise<EntryProcess> {
    const callers = await freeAddress();
    const readiness = await freeAddress();
    const folder = mkdtempSync(path.join(tmpdir(), "entry-"));
    const file = path.join(folder, "settings.jsonc");
    const place = { role: "entry", name: "process-1", dataCentre: "here" };
    const addresses = { callers, readiness, store: { address: store } };
    writeFileSync(
      file,
      JSON.stringify({ ...place, ...addresses, graceSeconds }),
    );
    const child = spawn(process.execPath, [PLATFORM_PROGRAM], {
      env: { ...process.env, [SETTINGS_VARIABLE]: file },
      stdio: "ignore",
    });
    const entry = new EntryProcess(child, folder, callers, readiness);
    while (!(await entry.isReady())) await pause(POLL_INTERVAL_MS);
    return entry;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code, or null if a signal ended the process. */
  async exited(): Promise<number | null> {
    const { child } = this;
    if (child.exitCode === null && child.signalCode === null) {
      await once(child, "exit");
    }
    return child.exitCode;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.signal("SIGKILL");
    await this.exited();
    rmSync(this.folder, { recursive: true });
  }

  private async isReady(): Promise<boolean> {
    try {
      const { status } = await fetch(
        `http://${this.readiness}${paths.readiness}`,
      );
      return status === 200;
    } catch {
      return false;
    }
  }
}
