/** `npm run measure -- NAME [options]`: one measurement by its name. */
import { measurements } from "./measurements.js";

const EXIT_USAGE = 2;

const [name = "", ...rest] = process.argv.slice(2);
const load = measurements[name];
if (load === undefined) {
  console.error(`measurements: ${Object.keys(measurements).join(", ")}`);
  process.exitCode = EXIT_USAGE;
} else {
  const measure = await load();
  await measure(rest);
}
