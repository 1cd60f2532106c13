/**
 * Runs every test file through uvu's runner, one after the other, and closes
 * with the plain line that CI reads. An argument keeps the files whose path
 * contains it. Cases listed in KNOWN-RED.txt are printed and passed over.
 */
import { readdirSync, readFileSync, existsSync } from "node:fs";
import { fileURLToPath } from "node:url";
import path from "node:path";
import { run } from "uvu/run";

const EXIT_FAILED = 1;
const TESTS = fileURLToPath(new URL("../tests/", import.meta.url));
const KNOWN_RED = fileURLToPath(
  new URL("../../KNOWN-RED.txt", import.meta.url),
);

interface Totals {
  readonly total: number;
  readonly passed: number;
}

// uvu's runner prints its totals and nothing else tells them, so its output
// is copied on its way to the terminal.
const output: string[] = [];
const write = process.stdout.write.bind(process.stdout);
process.stdout.write = (chunk: string | Uint8Array): boolean => {
  output.push(chunk.toString());
  return write(chunk);
};

function testFiles(filter: string): { name: string; file: string }[] {
  return readdirSync(TESTS, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".test.js") && name.includes(filter))
    .sort()
    .map((name) => ({ name, file: path.join(TESTS, name) }));
}

function lastNumber(text: string, label: string): number {
  const match = text.match(new RegExp(`${label}:\\s+(\\d+)`, "g"))?.at(-1);
  return Number(match?.match(/\d+/)?.[0] ?? Number.NaN);
}

function readTotals(text: string): Totals {
  return {
    total: lastNumber(text, "Total"),
    passed: lastNumber(text, "Passed"),
  };
}

/** Names of failed cases, as uvu prints them: FAIL  suite  "case". */
function failedCases(text: string): string[] {
  const plain = text.replaceAll(/\u001b\[[0-9;]*m/g, "");
  const found = plain.matchAll(/FAIL\s+(.+?)\s+"([^"]+)"/g);
  return [...found].map((match) => `${match[1]} ${match[2]}`);
}

function knownRed(): string[] {
  if (!existsSync(KNOWN_RED)) return [];
  return readFileSync(KNOWN_RED, "utf8")
    .split("\n")
    .filter((line) => line !== "" && !line.startsWith("#"));
}

process.once("exit", () => {
  const text = output.join("");
  const { total, passed } = readTotals(text);
  const known = knownRed();
  const isKnown = (name: string): boolean =>
    known.some((line) => line.startsWith(name));
  const failures = failedCases(text);
  const excused = failures.filter(isKnown).length;
  for (const name of failures.filter(isKnown)) write(`known red: ${name}\n`);
  // Without totals the run ended early, by an error outside of any case.
  const isComplete = total > 0;
  const failed = isComplete ? total - passed - excused : failures.length + 1;
  write(`${isComplete ? passed : 0} passed, ${failed} failed\n`);
  process.exitCode = failed === 0 ? 0 : EXIT_FAILED;
});

await run(testFiles(process.argv[2] ?? ""));
