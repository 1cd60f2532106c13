/**
 * `npm run measure -- skew [--trace NAME|FILE] [--policy P] [--seed N]
 * [--size small|large] [--ranks R] [--slots S] [--layers L] [--experts E]
 * [--windows W] [--skew-weight X] [--repack-period N] [--curve]`: compares
 * expert balancing policies on generated traces or one from a file.
 */
import { parseArgs } from "node:util";
import {
  ApricotdeckError,
  checkShape,
  raise,
  type GroupShape,
  type MoveCosts,
} from "../src/internal.js";
import type { Measurement } from "./measurements.js";
import {
  policies,
  requestPolicies,
  type PolicySettings,
} from "./skew-policies.js";
import {
  lowerBoundOf,
  refittedSkewOf,
  runPolicy,
  type RunResult,
} from "./skew-run.js";
import { generateTrace, traceNames, type Trace } from "./traces.js";
import { readTrace, toTrace } from "./traces-file.js";

interface SizePreset {
  readonly shape: GroupShape;
  readonly costs: MoveCosts;
}

/** Expert weights of 44 MB: 3 matrices of 7168 x 2048 at one byte. */
const BYTES_PER_EXPERT = 44e6;
const SWITCH_SECONDS = 0.05;

const sizePresets: Readonly<Record<string, SizePreset>> = {
  small: {
    shape: { ranks: 12, layers: 24, experts: 64, slotsPerRank: 8 },
    costs: {
      bytesPerExpert: BYTES_PER_EXPERT,
      storeBytesPerSecond: 1e9,
      switchSeconds: SWITCH_SECONDS,
      stagingExpertsPerRank: 64,
    },
  },
  large: {
    shape: { ranks: 64, layers: 60, experts: 128, slotsPerRank: 3 },
    costs: {
      bytesPerExpert: BYTES_PER_EXPERT,
      storeBytesPerSecond: 4e9,
      switchSeconds: SWITCH_SECONDS,
      stagingExpertsPerRank: 64,
    },
  },
};

const optionTypes = {
  trace: { type: "string" },
  policy: { type: "string" },
  seed: { type: "string", default: "1" },
  size: { type: "string", default: "small" },
  ranks: { type: "string" },
  slots: { type: "string" },
  layers: { type: "string" },
  experts: { type: "string" },
  windows: { type: "string", default: "360" },
  "skew-weight": { type: "string", default: "0.5" },
  "repack-period": { type: "string", default: "30" },
  curve: { type: "boolean", default: false },
} as const;

interface Options {
  readonly traces: readonly Trace[];
  readonly size: SizePreset;
  readonly settings: PolicySettings;
  readonly policyNames: readonly string[];
  readonly seed: number;
  readonly curve: boolean;
}

interface TraceResult {
  readonly trace: string;
  readonly skewWeight: number;
  readonly lowerBound: number;
  /** Mean skew of a map that is refitted for each window at no cost. */
  readonly refittedSkew: number;
  readonly policies: Readonly<Record<string, RunResult>>;
}

const EXIT_USAGE = 2;

/** Reports an invalid option or trace in one line, without a stack trace. */
export const measureSkew: Measurement = async (args) => {
  try {
    measureAll(await readOptions(args));
  } catch (thrown) {
    if (!(thrown instanceof ApricotdeckError)) throw thrown;
    console.error(thrown.message);
    process.exitCode = EXIT_USAGE;
  }
};

function measureAll(options: Options): void {
  const results: TraceResult[] = [];
  for (const trace of options.traces) {
    for (const skewWeight of curveWeights(options)) {
      const result = measureTrace(options, trace, skewWeight);
      printResult(result);
      results.push(result);
    }
  }
  const { shape, costs } = options.size;
  const { seed } = options;
  console.log(
    JSON.stringify({ measurement: "skew", seed, shape, costs, results }),
  );
}

function curveWeights({ curve, settings }: Options): readonly number[] {
  if (!curve) return [settings.skewWeight];
  return [0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 0.9, 1];
}

function measureTrace(
  { size, settings, policyNames }: Options,
  trace: Trace,
  skewWeight: number,
): TraceResult {
  const results: Record<string, RunResult> = {};
  for (const name of policyNames) {
    const createPolicy = policies[name];
    if (createPolicy === undefined) continue;
    if (requestPolicies.has(name) && !hasRequestWork(trace)) continue;
    const policy = createPolicy({ ...settings, skewWeight });
    results[name] = runPolicy(size.shape, trace, policy, size.costs);
  }
  return {
    trace: trace.name,
    skewWeight,
    lowerBound: lowerBoundOf(size.shape, trace),
    refittedSkew: refittedSkewOf(size.shape, trace),
    policies: results,
  };
}

function hasRequestWork({ windows }: Trace): boolean {
  return windows.some(({ requestTokens }) =>
    requestTokens.some((work) => work > 0),
  );
}

const TABLE_HEADER =
  "policy           skew mean  settled   p99     whole-step  moves   GB       switches  plan ms mean/max";

function printResult(result: TraceResult): void {
  const { trace, skewWeight, lowerBound, refittedSkew } = result;
  console.log(`\n${trace}, skewWeight ${skewWeight}`);
  console.log(
    `lower bound ${lowerBound.toFixed(4)}, refitted for each window ${refittedSkew.toFixed(4)}`,
  );
  console.log(TABLE_HEADER);
  for (const [name, run] of Object.entries(result.policies)) {
    const cells = [
      name.padEnd(17),
      run.skewMean.toFixed(4).padEnd(11),
      run.skewSettled.toFixed(4).padEnd(10),
      run.skewP99.toFixed(4).padEnd(8),
      run.wholeStepSkewMean.toFixed(4).padEnd(12),
      run.moves.toString().padEnd(8),
      (run.bytes / 1e9).toFixed(1).padEnd(9),
      run.switches.toString().padEnd(10),
      `${run.plannerMsMean.toFixed(2)} / ${run.plannerMsMax.toFixed(2)}`,
    ];
    console.log(cells.join(""));
  }
}

async function readOptions(args: readonly string[]): Promise<Options> {
  const values = parseOptions(args);
  const seed = parseInteger("seed", values.seed, 0);
  const base = Object.hasOwn(sizePresets, values.size)
    ? sizePresets[values.size]
    : raise(1804, { option: "size", value: values.size });
  const { traces, shape } = await readTraces(values, base.shape, seed);
  const size = { ...base, shape };
  if (values.policy !== undefined && policies[values.policy] === undefined) {
    raise(1804, { option: "policy", value: values.policy });
  }
  const settings = {
    shape,
    costs: size.costs,
    skewWeight: parseFraction("skew-weight", values["skew-weight"]),
    repackPeriod: parseInteger("repack-period", values["repack-period"], 1),
  };
  const policyNames =
    values.policy === undefined ? Object.keys(policies) : [values.policy];
  return { traces, size, settings, policyNames, seed, curve: values.curve };
}

function parseOptions(args: readonly string[]) {
  try {
    return parseArgs({ args: [...args], options: optionTypes }).values;
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : "";
    return raise(1804, { reason }, thrown);
  }
}

type OptionValues = ReturnType<typeof parseOptions>;

async function readTraces(
  values: OptionValues,
  base: GroupShape,
  seed: number,
): Promise<{ traces: readonly Trace[]; shape: GroupShape }> {
  const ranks = parseInteger("ranks", values.ranks ?? String(base.ranks), 1);
  const slots = parseInteger(
    "slots",
    values.slots ?? String(base.slotsPerRank),
    1,
  );
  const rankShape = { ranks, slotsPerRank: slots };
  const { trace = "" } = values;
  if (trace !== "" && !traceNames.includes(trace)) {
    const parsed = await readTrace(trace);
    const { layers, experts } = parsed;
    const shape = validShape({ ...rankShape, layers, experts });
    return { traces: [toTrace(trace, shape, parsed)], shape };
  }
  const layers = parseInteger(
    "layers",
    values.layers ?? String(base.layers),
    1,
  );
  const experts = parseInteger(
    "experts",
    values.experts ?? String(base.experts),
    1,
  );
  const shape = validShape({ ...rankShape, layers, experts });
  const windows = parseInteger("windows", values.windows, 1);
  const names = trace === "" ? traceNames : [trace];
  const traces = names.flatMap(
    (name) => generateTrace(name, shape, windows, seed) ?? [],
  );
  return { traces, shape };
}

function validShape(shape: GroupShape): GroupShape {
  return checkShape(shape).caseOf({
    Left: (problem) => {
      throw problem;
    },
    Right: (valid) => valid,
  });
}

function parseInteger(option: string, text: string, minimum: number): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= minimum) return value;
  return raise(1804, { option, value: text });
}

function parseFraction(option: string, text: string): number {
  const value = Number(text);
  if (value >= 0 && value <= 1) return value;
  return raise(1804, { option, value: text });
}
