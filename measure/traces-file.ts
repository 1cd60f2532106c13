/**
 * Reads traces from JSON Lines files with one window a line:
 * `{"window": i, "counts": [[tokens of each expert] of each layer]}`.
 */
import { readFile } from "node:fs/promises";
import * as z from "zod";
import { raise, type GroupShape } from "../src/internal.js";
import { createRandom } from "../src/internal.js";
import { createTraceWindow, type Trace } from "./traces.js";

const lineSchema = z.strictObject({
  window: z.int().min(0),
  counts: z.array(z.array(z.number().min(0)).min(1)).min(1),
});

type TraceLine = z.infer<typeof lineSchema>;

export interface ParsedTrace {
  readonly layers: number;
  readonly experts: number;
  readonly lines: readonly TraceLine[];
}

/**
 * Reads a trace file; raises 1802 if it can't be read, 1801 if a line is
 * invalid.
 */
export async function readTrace(file: string): Promise<ParsedTrace> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (thrown) {
    return raise(1802, { file }, thrown);
  }
  return parseTrace(text);
}

/**
 * Parses the text of a trace; raises 1801 with the number of an invalid line.
 */
export function parseTrace(text: string): ParsedTrace {
  const lines: TraceLine[] = [];
  text.split("\n").forEach((content, index) => {
    if (content.trim() === "") return;
    const parsed = parseLine(content, index + 1);
    checkConsistent(lines, parsed, index + 1);
    lines.push(parsed);
  });
  const first = lines.at(0);
  if (first === undefined) raise(1801, { line: 1, problem: "no windows" });
  const layers = first.counts.length;
  return { layers, experts: first.counts[0].length, lines };
}

function parseLine(content: string, lineNumber: number): TraceLine {
  let value: unknown;
  try {
    value = JSON.parse(content);
  } catch (thrown) {
    raise(1801, { line: lineNumber, problem: "not JSON" }, thrown);
  }
  const result = lineSchema.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const path = issue.path.join(".");
  raise(1801, { line: lineNumber, problem: `${path}: ${issue.message}` });
}

function checkConsistent(
  lines: readonly TraceLine[],
  { window, counts }: TraceLine,
  lineNumber: number,
): void {
  const last = lines.at(-1);
  const experts = (last?.counts ?? counts)[0].length;
  const layers = (last?.counts ?? counts).length;
  if (counts.length !== layers) {
    raise(1801, { line: lineNumber, problem: `expected ${layers} layers` });
  }
  const unevenLayer = counts.findIndex((layer) => layer.length !== experts);
  if (unevenLayer >= 0) {
    const problem = `counts.${unevenLayer}: expected ${experts} experts`;
    raise(1801, { line: lineNumber, problem });
  }
  if (last !== undefined && window <= last.window) {
    const problem = `window ${window} doesn't follow ${last.window}`;
    raise(1801, { line: lineNumber, problem });
  }
}

/** A trace in which all ranks are equally fast and no report is lost. */
export function toTrace(
  name: string,
  shape: GroupShape,
  parsed: ParsedTrace,
): Trace {
  const random = createRandom(0);
  const windows = parsed.lines.map(({ window, counts }) =>
    createTraceWindow(
      shape,
      window,
      Float64Array.from(counts.flat()),
      {},
      random,
    ),
  );
  return { name, windows };
}
