/** Writes the reference pages that are made from tables in the code. */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { errorTable, type ErrorEntry } from "../src/shared/errors.js";
import { eventTable, type EventEntry } from "../src/shared/events.js";

const NOTE =
  "<!-- Made from the code by `npm run generate`; edits here are lost. -->";

function write(page: string, lines: readonly string[]): void {
  const file = fileURLToPath(new URL(`../../docs/${page}`, import.meta.url));
  writeFileSync(file, [...lines, ""].join("\n"));
}

function table(
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
  return ["# Errors", "", NOTE, "", ...table(head, rows)];
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
  return ["# Events", "", NOTE, "", ...table(head, rows)];
}

write("ERRORS.md", errorPage());
write("EVENTS.md", eventPage());
