/** Runs the command-line tool as a separate process against a site. */
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { Site } from "./site.js";

const TOOL_PATH = fileURLToPath(new URL("../src/cli/main.js", import.meta.url));

export interface ToolResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

export function runTool(
  site: Site | undefined,
  ...args: readonly string[]
): Promise<ToolResult> {
  const env = {
    ...process.env,
    APRICOTDECK_LOG: site?.log.address,
    APRICOTDECK_VM_LIST: site?.vmList.address,
  };
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [TOOL_PATH, ...args],
      { env },
      (error, stdout, stderr) => {
        const code = typeof error?.code === "number" ? error.code : 0;
        resolve({ code, stdout, stderr });
      },
    );
  });
}

export async function runToolJson(
  site: Site | undefined,
  ...args: readonly string[]
): Promise<unknown> {
  const { stdout } = await runTool(site, ...args, "--json");
  return JSON.parse(stdout);
}
