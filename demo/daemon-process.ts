/** Starts a daemon as a separate process and reads its listening addresses. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const DAEMON_PATH = fileURLToPath(
  new URL("../src/daemon/main.js", import.meta.url),
);

export interface DaemonProcess extends AsyncDisposable {
  readonly name: string;
  readonly peers: string;
  readonly operators: string;
  readonly callers: string;
  readonly child: ChildProcess;
  /** File that receives the daemon's stdout and stderr. */
  readonly logFile: string;
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or null if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

interface ReadyLine {
  readonly ready?: boolean;
  readonly peers?: string;
  readonly operators?: string;
  readonly callers?: string;
}

/** Contents of a settings file; the daemon validates them. */
export interface DaemonSettings {
  readonly role: "entry" | "agent";
  readonly name: string;
  readonly dataCentre: string;
  readonly group?: string;
  readonly [field: string]: unknown;
}

export async function startDaemonProcess(
  settings: DaemonSettings,
): Promise<DaemonProcess> {
  const folder = await mkdtemp(path.join(tmpdir(), "apricotdeck-"));
  const file = path.join(folder, "settings.jsonc");
  const logFile = path.join(folder, "events.log");
  await writeFile(file, JSON.stringify(settings, undefined, 2));
  const child = spawn(process.execPath, [DAEMON_PATH, file], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log = createWriteStream(logFile);
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  const exited = once(child, "exit").then(([code]) => code as number | null);
  const ready = await readReadyLine(child, exited, logFile);
  const kill = (signal: NodeJS.Signals): void => {
    if (child.exitCode === null) child.kill(signal);
  };
  return {
    name: settings.name,
    peers: ready.peers ?? "",
    operators: ready.operators ?? "",
    callers: ready.callers ?? "",
    child,
    logFile,
    kill,
    exited,
    async [Symbol.asyncDispose]() {
      kill("SIGKILL");
      await exited;
      log.end();
    },
  };
}

async function readReadyLine(
  child: ChildProcess,
  exited: Promise<number | null>,
  logFile: string,
): Promise<ReadyLine> {
  const lines = createInterface({ input: child.stdout ?? process.stdin });
  const ready = new Promise<ReadyLine>((resolve) => {
    lines.on("line", (line) => {
      const value = parseLine(line);
      if (value.ready === true) resolve(value);
    });
  });
  const failed = exited.then((code) => {
    throw new Error(
      `daemon exited with code ${String(code)} before it was ready, see ${logFile}`,
    );
  });
  return Promise.race([ready, failed]);
}

function parseLine(line: string): ReadyLine {
  try {
    return JSON.parse(line) as ReadyLine;
  } catch {
    return {};
  }
}
