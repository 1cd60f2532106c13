/** Generates the reference pages from the schemas and tables in the code. */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { errorTable, type ErrorEntry } from "../src/shared/errors.js";
import { eventTable, type EventEntry } from "../src/shared/events.js";
import { metricTable, type MetricEntry } from "../src/shared/metrics.js";
import { configurationSchema } from "../src/configuration/schema.js";
import { settingsSchema } from "../src/daemon/settings.js";
import { directSettingsSchema } from "../src/direct/settings.js";
import { settingRows } from "./setting-rows.js";

const GENERATED_NOTE =
  "<!-- Made from the code by `npm run generate`; edits here are lost. -->";

function writePage(page: string, lines: readonly string[]): void {
  const file = fileURLToPath(new URL(`../../docs/${page}`, import.meta.url));
  writeFileSync(file, [...lines, ""].join("\n"));
}

function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const line = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;
  return [line(head), line(head.map(() => "---")), ...rows.map(line)];
}

function errorPage(): string[] {
  const entries = Object.entries<ErrorEntry>(errorTable);
  const rows = entries.map(([number, item]) => [
    number,
    `\`${item.name}\``,
    item.status === 0 ? "–" : String(item.status),
    item.outcome,
    item.text,
    item.remedy,
  ]);
  const head = ["Number", "Name", "HTTP", "Outcome", "Meaning", "What to do"];
  return ["# Errors", "", GENERATED_NOTE, "", ...formatTable(head, rows)];
}

function eventPage(): string[] {
  const entries = Object.entries<EventEntry>(eventTable);
  const rows = entries.map(([number, item]) => [
    number,
    `\`${item.name}\``,
    item.level,
    item.meaning,
    Object.entries(item.fields)
      .map(([field, meaning]) => `\`${field}\`: ${meaning}`)
      .join("; "),
  ]);
  const head = ["Number", "Name", "Level", "Meaning", "Fields"];
  return ["# Events", "", GENERATED_NOTE, "", ...formatTable(head, rows)];
}

function metricPage(): string[] {
  const entries = Object.values<MetricEntry>(metricTable);
  const rows = entries.map(({ name, kind, unit, labels, meaning }) => [
    `\`${name}\``,
    kind,
    unit,
    labels.join(", ") || "–",
    meaning,
  ]);
  const head = ["Metric", "Kind", "Unit", "Labels", "Meaning"];
  const note =
    "Every metric also carries the labels `process` and `data_centre`. The usual process metrics of the runtime come with them.";
  return [
    "# Metrics",
    "",
    GENERATED_NOTE,
    "",
    note,
    "",
    ...formatTable(head, rows),
  ];
}

function configurationPage(): string[] {
  const head = ["Field", "Type", "Default", "Limits", "Meaning"];
  return [
    "# Configuration",
    "",
    GENERATED_NOTE,
    "",
    "## Published configuration",
    "",
    "Checked by `apricotdeck check FILE`, published by `apricotdeck publish FILE`. JSON with comments; unknown fields are errors.",
    "",
    ...formatTable(head, settingRows(configurationSchema)),
    "",
    "## Settings of a daemon",
    "",
    "The file given to `apricotdeckd`. JSON with comments; unknown fields are errors and the daemon does not start. Times end in `Ms` (milliseconds), sizes in `Bytes`.",
    "",
    ...formatTable(head, settingRows(settingsSchema)),
    "",
    "## Settings on the users' platform",
    "",
    "The file that `APRICOTDECK_BOOT` names, made by the platform from `deploy/entry.jsonc` and `deploy/agent.jsonc`. Read again on SIGHUP: `graceSeconds` takes effect, the rest with the next start.",
    "",
    ...formatTable(head, settingRows(directSettingsSchema)),
  ];
}

writePage("METRICS.md", metricPage());
writePage("CONFIGURATION.md", configurationPage());
writePage("ERRORS.md", errorPage());
writePage("EVENTS.md", eventPage());
