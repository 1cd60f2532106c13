import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import * as assert from "uvu/assert";
import { paths } from "../../platform/names.js";
import { KeyedStore } from "../../standins/keyed-store.js";
import { describe, it } from "../support/describe.js";
import {
  PLATFORM_PROGRAM,
  SETTINGS_VARIABLE,
  freeAddress,
} from "../support/platform-program.js";

interface EntryProcess {
  readonly child: ChildProcess;
  readonly file: string;
  readonly settings: Readonly<Record<string, unknown>>;
  readonly output: string[];
  /** HTTP status of the readiness endpoint; 0 while nothing listens. */
  readonly readiness: () => Promise<number>;
}

async function startEntry(store: KeyedStore): Promise<EntryProcess> {
  const [callers, readiness] = [await freeAddress(), await freeAddress()];
  const file = path.join(mkdtempSync(path.join(tmpdir(), "entry-")), "s.jsonc");
  const settings = {
    role: "entry",
    name: "entry-1",
    dataCentre: "here",
    callers,
    readiness,
    store: { address: store.address },
    graceSeconds: 1,
  };
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, [PLATFORM_PROGRAM], {
    env: { ...process.env, [SETTINGS_VARIABLE]: file },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const output: string[] = [];
  child.stdout.on("data", (data: Buffer) => output.push(data.toString()));
  child.stderr.on("data", (data: Buffer) => output.push(data.toString()));
  const url = `http://${readiness}${paths.readiness}`;
  return {
    child,
    file,
    settings,
    output,
    readiness: async () => {
      try {
        return (await fetch(url)).status;
      } catch {
        return 0;
      }
    },
  };
}

async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await condition())) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}

describe("entry process on the platform", () => {
  it("reloads its settings on SIGHUP and keeps running", async () => {
    // The platform announces changed settings by SIGHUP, whose default action
    // would end the process along with all its requests.
    await using store = await KeyedStore.create();
    const entry = await startEntry(store);
    await waitUntil(async () => (await entry.readiness()) === 503);
    writeFileSync(
      entry.file,
      JSON.stringify({ ...entry.settings, graceSeconds: 2, name: "other" }),
    );
    entry.child.kill("SIGHUP");
    await waitUntil(() => entry.output.join("").includes('"changed":"name"'));
    writeFileSync(entry.file, "{ not settings");
    entry.child.kill("SIGHUP");
    await waitUntil(() => entry.output.join("").includes("1002"));
    assert.is(await entry.readiness(), 503);
    entry.child.kill("SIGTERM");
    const [code] = (await once(entry.child, "exit")) as [number | null];
    assert.is(code, 0);
  });

  it("exits with an error that names the invalid setting", async () => {
    await using store = await KeyedStore.create();
    const entry = await startEntry(store);
    entry.child.kill("SIGKILL");
    const incomplete = { ...entry.settings, callers: undefined };
    writeFileSync(entry.file, JSON.stringify(incomplete));
    const child = spawn(process.execPath, [PLATFORM_PROGRAM], {
      env: { ...process.env, [SETTINGS_VARIABLE]: entry.file },
      stdio: ["ignore", "ignore", "pipe"],
    });
    const output: string[] = [];
    child.stderr.on("data", (data: Buffer) => output.push(data.toString()));
    const [code] = (await once(child, "close")) as [number | null];
    assert.is(code, 1);
    assert.match(output.join(""), /callers/);
  });
});
