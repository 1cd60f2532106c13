/**
 * Runs all test files sequentially with uvu and ends with the summary line that
 * CI parses. An optional argument selects the files whose path contains it.
 * Failures are listed before that line; those in KNOWN-RED.txt don't fail the
 * run.
 */
import { readdirSync, readFileSync, existsSync } from "node:fs";
import { fileURLToPath } from "node:url";
import path from "node:path";
import { run } from "uvu/run";

const EXIT_FAILED = 1;
const TESTS_FOLDER = fileURLToPath(new URL("../tests/", import.meta.url));
const KNOWN_FAILURES_FILE = fileURLToPath(
  new URL("../../KNOWN-RED.txt", import.meta.url),
);

interface Totals {
  readonly total: number;
  readonly passed: number;
}

// uvu reports its totals only as printed text, so the output is captured while
// it is passed on to the terminal.
const output: string[] = [];
const writeToTerminal = process.stdout.write.bind(process.stdout);
process.stdout.write = (chunk: string | Uint8Array): boolean => {
  output.push(chunk.toString());
  return writeToTerminal(chunk);
};

function testFiles(filter: string): { name: string; file: string }[] {
  return readdirSync(TESTS_FOLDER, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".test.js") && name.includes(filter))
    .sort()
    .map((name) => ({ name, file: path.join(TESTS_FOLDER, name) }));
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

/** Parses failed cases from uvu's output, such as `FAIL  suite  "case"`. */
function failedCases(text: string): string[] {
  const plain = text.replaceAll(/\u001b\[[0-9;]*m/g, "");
  const found = plain.matchAll(/FAIL\s+(.+?)\s+"([^"]+)"/g);
  return [...found].map((match) => `${match[1]} ${match[2]}`);
}

function readKnownFailures(): string[] {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  return readFileSync(KNOWN_FAILURES_FILE, "utf8")
    .split("\n")
    .filter((line) => line !== "" && !line.startsWith("#"));
}

process.once("exit", () => {
  const text = output.join("");
  const { total, passed } = readTotals(text);
  const known = readKnownFailures();
  const isKnown = (name: string): boolean =>
    known.some((line) => line.startsWith(name));
  const failures = failedCases(text);
  const knownFailureCount = failures.filter(isKnown).length;
  for (const name of failures)
    writeToTerminal(`${isKnown(name) ? "known red" : "failed"}: ${name}\n`);
  // If uvu printed no totals, an error outside of a test case ended the run.
  const isComplete = total > 0;
  const failed = isComplete
    ? total - passed - knownFailureCount
    : failures.length + 1;
  writeToTerminal(`${isComplete ? passed : 0} passed, ${failed} failed\n`);
  process.exitCode = failed === 0 ? 0 : EXIT_FAILED;
});

await run(testFiles(process.argv[2] ?? ""));
