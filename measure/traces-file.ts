/**
 * Traces from a file: JSON Lines, one window a line,
 * `{"window": i, "counts": [[tokens of each expert] of each layer]}`.
 */
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { raise, type GroupShape } from "../src/internal.js";
import { createRandom } from "../src/internal.js";
import { traceWindow, type Trace } from "./traces.js";

const line = z.strictObject({
  window: z.int().min(0),
  counts: z.array(z.array(z.number().min(0)).min(1)).min(1),
});

type TraceLine = z.infer<typeof line>;

export interface ParsedTrace {
  readonly layers: number;
  readonly experts: number;
  readonly lines: readonly TraceLine[];
}

/** Reads a trace file; raises 1802 or, naming the line, 1801. */
export async function readTrace(file: string): Promise<ParsedTrace> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (thrown) {
    return raise(1802, { file }, thrown);
  }
  return parseTrace(text);
}

/** Parses the text of a trace; raises 1801, naming the line. */
export function parseTrace(text: string): ParsedTrace {
  const lines: TraceLine[] = [];
  text.split("\n").forEach((content, index) => {
    if (content.trim() === "") return;
    const parsed = parseLine(content, index + 1);
    checkAgainst(lines, parsed, index + 1);
    lines.push(parsed);
  });
  const first = lines.at(0);
  if (first === undefined) raise(1801, { line: 1, problem: "no windows" });
  const layers = first.counts.length;
  return { layers, experts: first.counts[0].length, lines };
}

function parseLine(content: string, number: number): TraceLine {
  let value: unknown;
  try {
    value = JSON.parse(content);
  } catch (thrown) {
    raise(1801, { line: number, problem: "not JSON" }, thrown);
  }
  const result = line.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const path = issue.path.join(".");
  raise(1801, { line: number, problem: `${path}: ${issue.message}` });
}

function checkAgainst(
  lines: readonly TraceLine[],
  { window, counts }: TraceLine,
  number: number,
): void {
  const last = lines.at(-1);
  const experts = (last?.counts ?? counts)[0].length;
  const layers = (last?.counts ?? counts).length;
  if (counts.length !== layers) {
    raise(1801, { line: number, problem: `not ${layers} layers` });
  }
  const uneven = counts.findIndex((layer) => layer.length !== experts);
  if (uneven >= 0) {
    const problem = `counts.${uneven}: not ${experts} experts`;
    raise(1801, { line: number, problem });
  }
  if (last !== undefined && window <= last.window) {
    const problem = `window ${window} doesn't follow ${last.window}`;
    raise(1801, { line: number, problem });
  }
}

/** The trace with all ranks equally fast and every report in time. */
export function toTrace(
  name: string,
  shape: GroupShape,
  parsed: ParsedTrace,
): Trace {
  const random = createRandom(0);
  const windows = parsed.lines.map(({ window, counts }) =>
    traceWindow(shape, window, Float64Array.from(counts.flat()), {}, random),
  );
  return { name, windows };
}
