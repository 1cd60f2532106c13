#!/usr/bin/env node
/** `apricotdeckd SETTINGS`: runs the role that the settings name. */
import { createDeferred, toFailure } from "../internal.js";
import { startAgent } from "./agent/agent.js";
import type { Daemon } from "./daemon.js";
import { startEntry } from "./entry/entry.js";
import { loadSettings, type Settings } from "./settings.js";

const EXIT_USAGE = 2;
const EXIT_FAILED = 1;

async function startDaemon(
  settings: Settings,
  onLeave: () => void,
): Promise<Daemon> {
  return settings.role === "entry"
    ? startEntry(settings, onLeave)
    : startAgent(settings, onLeave);
}

async function main(file: string): Promise<void> {
  const settings = loadSettings(file);
  const leaving = createDeferred<undefined>();
  const leave = (): void => {
    leaving.resolve(undefined);
  };
  // Stays in place: a second signal must not end the process while it drains.
  process.on("SIGTERM", leave);
  process.once("SIGINT", leave);
  await using daemon = await startDaemon(settings, leave);
  const { name, role } = settings;
  // The only line that isn't an event; it reports the assigned ports.
  console.log(JSON.stringify({ ready: true, name, role, ...daemon.addresses }));
  await leaving.promise;
  await daemon.leave();
}

const file = process.argv.at(2);
if (file === undefined) {
  console.error("usage: apricotdeckd SETTINGS");
  process.exitCode = EXIT_USAGE;
} else {
  try {
    await main(file);
    process.exit();
  } catch (error) {
    console.error(toFailure(error, 1215).message);
    process.exit(EXIT_FAILED);
  }
}
