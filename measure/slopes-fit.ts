/** Least-squares fits, and the processor time and memory of an operation. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

export interface Point {
  readonly size: number;
  readonly cost: number;
}

export interface Slope {
  /** Slope: cost per unit of size. */
  readonly perUnit: number;
  /** Intercept: fitted cost at size zero. */
  readonly fixed: number;
  /** Largest absolute residual over the largest cost. */
  readonly largestResidual: number;
  /** Coefficient of determination (R²). */
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
  const squaredError = residuals.reduce((sum, value) => sum + value * value, 0);
  const largestCost = Math.max(...points.map(({ cost }) => Math.abs(cost)));
  const largestResidual = Math.max(...residuals.map(Math.abs));
  return {
    perUnit,
    fixed,
    largestResidual: largestCost > 0 ? largestResidual / largestCost : 0,
    explained: costVariance > 0 ? 1 - squaredError / costVariance : 1,
  };
}

const ROUND_MS = 150;
const ROUNDS = 3;

/** Processor time of one call in microseconds: the minimum of a few rounds. */
export function processorMicroseconds(operation: () => void): number {
  operation();
  let minimum = Infinity;
  for (let round = 0; round < ROUNDS; round++) {
    minimum = Math.min(minimum, measureRound(operation));
  }
  return minimum;
}

function measureRound(operation: () => void): number {
  const usageBefore = process.cpuUsage();
  const endAtMs = performance.now() + ROUND_MS;
  let calls = 0;
  do {
    operation();
    calls++;
  } while (performance.now() < endAtMs);
  const { user, system } = process.cpuUsage(usageBefore);
  return (user + system) / calls;
}

/** Several copies, so that garbage left after a collection matters little. */
const RETAINED_COPIES = 8;

/** Memory in bytes that the result of a call retains. */
export function retainedBytes(create: () => unknown): number {
  create();
  const before = usedBytesAfterCollection();
  const copies = Array.from({ length: RETAINED_COPIES }, create);
  const bytes = usedBytesAfterCollection() - before;
  return bytes / copies.length;
}

/** Heap and external memory in use after garbage collection. */
export function usedBytesAfterCollection(): number {
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
