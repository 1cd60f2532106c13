/**
 * `npm run measure -- slopes [--only NAME]`: cost against size, by least
 * squares over four or more sizes, for docs/CAPACITY.md.
 */
import { parseArgs } from "node:util";
import type { Measure } from "./measurements.js";
import { fitLine, type Point, type Slope } from "./slopes-fit.js";
import { slopeParts } from "./slopes-parts.js";
import { measureSessions, type SessionCost } from "./slopes-sockets.js";

interface SlopeResult extends Slope {
  readonly name: string;
  readonly sizeUnit: string;
  readonly costUnit: string;
  readonly points: readonly Point[];
  readonly targetSize: number;
  readonly atTarget: number;
}

const SESSIONS = [50, 100, 200, 400];
/** Compiles the code that the counted runs use. */
const WARM_UP_SESSIONS = 100;

const sessionCosts: Readonly<Record<keyof SessionCost, string>> = {
  processorMicroseconds: "µs a second",
  bytes: "bytes",
  wireBytes: "bytes a second",
};

export const measureSlopes: Measure = async (args) => {
  const { values } = parseArgs({
    args: [...args],
    options: { only: { type: "string", default: "" } },
  });
  const results = slopeParts
    .filter(({ name }) => name.includes(values.only))
    .map(({ measure, ...part }) => {
      const points = part.sizes.map((size) => ({ size, cost: measure(size) }));
      return report({ ...part, points });
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
  for (const size of SESSIONS) {
    costs.push({ size, cost: await measureSessions(size) });
  }
  return Object.entries(sessionCosts).map(([field, costUnit]) => {
    const key = field as keyof SessionCost;
    const points = costs.map(({ size, cost }) => ({ size, cost: cost[key] }));
    const name = `session-${field}`;
    const sizeUnit = "sessions, both ends";
    return report({ name, sizeUnit, costUnit, points, targetSize: 820 });
  });
}

function report(
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
    `  ${slope.perUnit.toPrecision(4)} each + ${slope.fixed.toPrecision(4)}; explained ${slope.explained.toFixed(4)}, largest residual ${(slope.largestResidual * 100).toFixed(1)}%; at ${part.targetSize}: ${atTarget.toPrecision(4)}`,
  );
  return result;
}
