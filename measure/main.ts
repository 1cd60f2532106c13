/** `npm run measure -- NAME [options]` runs the measurement of that name. */
import { measurements } from "./measurements.js";

const EXIT_USAGE = 2;

const [name = "", ...options] = process.argv.slice(2);
const loadMeasurement = measurements[name];
if (loadMeasurement === undefined) {
  console.error(
    `no such measurement; choose one of: ${Object.keys(measurements).join(", ")}`,
  );
  process.exitCode = EXIT_USAGE;
} else {
  const run = await loadMeasurement();
  await run(options);
}
