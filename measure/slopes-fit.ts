/** Least squares of a cost against a size, and the cost of one operation. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

export interface Point {
  readonly size: number;
  readonly cost: number;
}

export interface Slope {
  /** Cost of one more of what the size counts. */
  readonly perUnit: number;
  /** Cost at size zero, by the fit. */
  readonly fixed: number;
  /** Largest distance of a point from the line, over the largest cost. */
  readonly largestResidual: number;
  /** Share of the variance that the line explains. */
  readonly explained: number;
}

export function fitLine(points: readonly Point[]): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / count;
  let covariance = 0;
  let variance = 0;
  let costVariance = 0;
  for (const { size, cost } of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    variance += (size - meanSize) ** 2;
    costVariance += (cost - meanCost) ** 2;
  }
  const perUnit = variance > 0 ? covariance / variance : 0;
  const fixed = meanCost - perUnit * meanSize;
  const residuals = points.map(
    ({ size, cost }) => cost - (fixed + perUnit * size),
  );
  const squared = residuals.reduce((sum, value) => sum + value * value, 0);
  const largestCost = Math.max(...points.map(({ cost }) => Math.abs(cost)));
  const largest = Math.max(...residuals.map(Math.abs));
  return {
    perUnit,
    fixed,
    largestResidual: largestCost > 0 ? largest / largestCost : 0,
    explained: costVariance > 0 ? 1 - squared / costVariance : 1,
  };
}

const MEASURED_MS = 150;
const ROUNDS = 3;

/** Processor time of one call in microseconds: the least of a few rounds. */
export function processorMicroseconds(operation: () => void): number {
  operation();
  let least = Infinity;
  for (let round = 0; round < ROUNDS; round++) {
    least = Math.min(least, oneRound(operation));
  }
  return least;
}

function oneRound(operation: () => void): number {
  const started = process.cpuUsage();
  const endAt = performance.now() + MEASURED_MS;
  let calls = 0;
  do {
    operation();
    calls++;
  } while (performance.now() < endAt);
  const { user, system } = process.cpuUsage(started);
  return (user + system) / calls;
}

/** Several at once, so that what the collector leaves behind counts little. */
const KEPT_COPIES = 8;

/** Bytes of memory that the result of a call holds on to. */
export function retainedBytes(create: () => unknown): number {
  create();
  const before = settledBytes();
  const kept = Array.from({ length: KEPT_COPIES }, create);
  const bytes = settledBytes() - before;
  return bytes / kept.length;
}

/** Memory in use after a collection. */
export function settledBytes(): number {
  collectGarbage();
  return usedBytes();
}

function usedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function collectGarbage(): void {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  collect();
}
