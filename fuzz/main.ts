/**
 * Command line of the fuzz targets: `npm run fuzz -- [--target T] [--seed N]
 * [--runs N | --seconds N] [--mutation M]`. The last line of each target is one
 * JSON object.
 */
import { parseArgs } from "node:util";
import { targets } from "./targets.js";
import type { FuzzResult } from "./target.js";

const DEFAULT_RUNS = 1000;
const EXIT_VIOLATION = 1;
const EXIT_USAGE = 2;

const { values } = parseArgs({
  options: {
    target: { type: "string" },
    seed: { type: "string", default: "1" },
    runs: { type: "string" },
    seconds: { type: "string" },
    mutation: { type: "string" },
    help: { type: "boolean", default: false },
  },
});

const USAGE = `fuzz [--target T] [--seed N] [--runs N | --seconds N] [--mutation M]
targets: ${Object.keys(targets).join(", ")}`;

if (values.help) {
  console.log(USAGE);
  process.exit();
}

const seed = Number(values.seed);
const stopAfterMs =
  values.seconds === undefined ? undefined : Number(values.seconds) * 1000;
const defaultRuns = stopAfterMs === undefined ? DEFAULT_RUNS : 1_000_000_000;
const runs = values.runs === undefined ? defaultRuns : Number(values.runs);

function report(name: string, result: FuzzResult): void {
  if (result.violations > 0) {
    for (const line of result.counterexample) console.log(line);
    const mutation =
      values.mutation === undefined ? "" : ` --mutation ${values.mutation}`;
    console.log(
      `replay: npm run fuzz -- --target ${name} --seed ${seed} --runs ${runs}${mutation}`,
    );
    process.exitCode = EXIT_VIOLATION;
  }
  const { histories, commands, violations } = result;
  console.log(
    JSON.stringify({ target: name, seed, histories, commands, violations }),
  );
}

const selectedNames =
  values.target === undefined ? Object.keys(targets) : [values.target];
for (const name of selectedNames) {
  const load = targets[name];
  if (load === undefined) {
    console.error(
      `unknown target ${name}; targets: ${Object.keys(targets).join(", ")}`,
    );
    process.exitCode = EXIT_USAGE;
    break;
  }
  const target = await load();
  const { mutation } = values;
  // A mistyped mutation would disable nothing, and the run would look as if the
  // oracle missed it.
  if (mutation !== undefined && !Object.hasOwn(target.mutations, mutation)) {
    const knownMutations = Object.keys(target.mutations).join(", ");
    console.error(
      `unknown mutation ${mutation} of ${name}; mutations: ${knownMutations}`,
    );
    process.exitCode = EXIT_USAGE;
    break;
  }
  const result = await target.run({
    seed,
    runs,
    ...(values.mutation === undefined ? {} : { mutation: values.mutation }),
    ...(stopAfterMs === undefined ? {} : { stopAfterMs }),
    onProgress: (histories) => {
      console.log(`${name}: ${histories} histories`);
    },
  });
  report(name, result);
}
