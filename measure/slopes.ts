/**
 * `npm run measure -- slopes [--only NAME]`: least-squares fits of cost
 * against size, over four or more sizes each, for docs/CAPACITY.md.
 */
import { parseArgs } from "node:util";
import type { Measurement } from "./measurements.js";
import { fitLine, type Point, type Slope } from "./slopes-fit.js";
import { slopeMeasurements } from "./slopes-measurements.js";
import { measureSessions, type SessionCost } from "./slopes-sockets.js";

interface SlopeResult extends Slope {
  readonly name: string;
  readonly sizeUnit: string;
  readonly costUnit: string;
  readonly points: readonly Point[];
  readonly targetSize: number;
  readonly atTarget: number;
}

const SESSION_COUNTS = [50, 100, 200, 400];
/**
 * Sessions of a warm-up run, whose costs aren't used: it lets V8 compile the
 * code first.
 */
const WARM_UP_SESSIONS = 100;

const sessionCostUnits: Readonly<Record<keyof SessionCost, string>> = {
  processorMicroseconds: "µs a second",
  bytes: "bytes",
  wireBytes: "bytes a second",
};

export const measureSlopes: Measurement = async (args) => {
  const { values } = parseArgs({
    args: [...args],
    options: { only: { type: "string", default: "" } },
  });
  const results = slopeMeasurements
    .filter(({ name }) => name.includes(values.only))
    .map(({ measure, ...part }) => {
      const points = part.sizes.map((size) => ({ size, cost: measure(size) }));
      return reportSlope({ ...part, points });
    });
  const sessions = "session".includes(values.only)
    ? await measureSessionSlopes()
    : [];
  const slopes = [...results, ...sessions];
  console.log(JSON.stringify({ measurement: "slopes", slopes }));
};

async function measureSessionSlopes(): Promise<readonly SlopeResult[]> {
  const costs: { size: number; cost: SessionCost }[] = [];
  await measureSessions(WARM_UP_SESSIONS);
  for (const size of SESSION_COUNTS) {
    costs.push({ size, cost: await measureSessions(size) });
  }
  return Object.entries(sessionCostUnits).map(([field, costUnit]) => {
    const key = field as keyof SessionCost;
    const points = costs.map(({ size, cost }) => ({ size, cost: cost[key] }));
    const name = `session-${field}`;
    const sizeUnit = "sessions, both ends";
    return reportSlope({ name, sizeUnit, costUnit, points, targetSize: 820 });
  });
}

function reportSlope(
  part: Pick<
    SlopeResult,
    "name" | "sizeUnit" | "costUnit" | "points" | "targetSize"
  >,
): SlopeResult {
  const slope = fitLine(part.points);
  const atTarget = slope.fixed + slope.perUnit * part.targetSize;
  const result: SlopeResult = { ...part, ...slope, atTarget };
  const measured = part.points
    .map(({ size, cost }) => `${size}: ${cost.toPrecision(4)}`)
    .join(", ");
  console.log(`${part.name} (${part.costUnit} by ${part.sizeUnit})`);
  console.log(`  ${measured}`);
  console.log(
    `  ${slope.perUnit.toPrecision(4)} per unit + ${slope.fixed.toPrecision(4)}; R² ${slope.explained.toFixed(4)}, largest residual ${(slope.largestResidual * 100).toFixed(1)}%; at ${part.targetSize}: ${atTarget.toPrecision(4)}`,
  );
  return result;
}
