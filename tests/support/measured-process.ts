/** Starts a process of the product with limits, and reads what it uses. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import {
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";

const KIB_PER_MIB = 1024;
/** Sets the limit for the process itself: Node.js raises a soft limit. */
const LIMITED_START = 'ulimit -n "$0" && exec "$@"';

export interface ProcessLimits {
  /** Limit for the old generation of the heap, MiB. */
  readonly heapMb: number;
  readonly descriptors: number;
}

export interface MeasuredProcessOptions {
  /** Compiled file of the program. */
  readonly program: string;
  readonly settings: unknown;
  /** Variable that names the settings file; without it, an argument does. */
  readonly settingsVariable?: string;
  readonly limits: ProcessLimits;
}

export class MeasuredProcess implements AsyncDisposable {
  /** Standard output and standard error. */
  output = "";

  private constructor(
    private readonly child: ChildProcess,
    private readonly folder: string,
  ) {
    const onData = (data: Buffer): void => {
      this.output += data.toString();
    };
    child.stdout?.on("data", onData);
    child.stderr?.on("data", onData);
  }

  static start(options: MeasuredProcessOptions): MeasuredProcess {
    const { program, settings, settingsVariable, limits } = options;
    const folder = mkdtempSync(path.join(tmpdir(), "apricotdeck-"));
    const file = path.join(folder, "settings.jsonc");
    writeFileSync(file, JSON.stringify(settings));
    const heap = `--max-old-space-size=${limits.heapMb}`;
    const named = settingsVariable === undefined ? [file] : [];
    const variables =
      settingsVariable === undefined ? {} : { [settingsVariable]: file };
    const child = spawn(
      "/bin/sh",
      [
        "-c",
        LIMITED_START,
        String(limits.descriptors),
        process.execPath,
        heap,
        program,
        ...named,
      ],
      {
        env: { ...process.env, ...variables },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    return new MeasuredProcess(child, folder);
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Most memory that the process has had resident at once, MiB. */
  get peakMemoryMb(): number {
    const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
    const kib = /VmHWM:\s+(\d+) kB/.exec(status)?.[1];
    return Math.ceil(Number(kib) / KIB_PER_MIB);
  }

  get openDescriptors(): number {
    return readdirSync(`/proc/${this.pid}/fd`).length;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.isRunning) {
      const exited = once(this.child, "exit");
      this.child.kill("SIGKILL");
      await exited;
    }
    rmSync(this.folder, { recursive: true });
  }

  private get pid(): number {
    return this.child.pid ?? 0;
  }
}
