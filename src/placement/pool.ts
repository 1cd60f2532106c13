/** The runners that serve one model or plain service. */
import type { Random } from "../internal.js";
import { randomBelow } from "../internal.js";
import type { RunnerState } from "./runner.js";
import type { PlacementTuning } from "./types.js";

export class Pool {
  private readonly members: RunnerState[] = [];
  private readonly localMembers: RunnerState[] = [];
  /** Sum of the runners' `othersCount`, so that `meanOthersCount` is cheap. */
  private othersCountSum = 0;
  /** Moving averages of nominal work and of tokens per request. */
  meanWorkMs = 1000;
  meanTokens = 500;

  private constructor(private readonly dataCentre: string) {}

  static create(dataCentre: string): Pool {
    return new Pool(dataCentre);
  }

  get size(): number {
    return this.members.length;
  }

  get runners(): readonly RunnerState[] {
    return this.members;
  }

  get meanOthersCount(): number {
    return this.size === 0 ? 0 : this.othersCountSum / this.size;
  }

  add(runner: RunnerState): void {
    this.members.push(runner);
    this.othersCountSum += runner.othersCount;
    if (runner.description.dataCentre === this.dataCentre) {
      this.localMembers.push(runner);
    }
  }

  remove(runner: RunnerState): void {
    removeFrom(this.members, runner);
    removeFrom(this.localMembers, runner);
    this.othersCountSum -= runner.othersCount;
  }

  onOthersChanged(difference: number): void {
    this.othersCountSum += difference;
  }

  recordRequest(workMs: number, tokens: number): void {
    const SMOOTHING_FACTOR = 0.02;
    this.meanWorkMs += SMOOTHING_FACTOR * (workMs - this.meanWorkMs);
    this.meanTokens += SMOOTHING_FACTOR * (tokens - this.meanTokens);
  }

  /**
   * Adds all runners of a small pool. From a larger one it draws half of the
   * samples from the entry's data centre and half from all runners: a full scan
   * would take too long for one decision, and the entries, which all see the
   * same old reports, would all choose the same least loaded runner.
   */
  sample(
    { fullScanLimit, sampleCount }: PlacementTuning,
    random: Random,
    candidates: Candidates,
  ): void {
    if (this.members.length <= fullScanLimit) {
      // The random start keeps entries from all taking the first of a tie.
      const start = randomBelow(random, this.members.length);
      for (const runner of this.members.slice(start)) candidates.add(runner);
      for (const runner of this.members.slice(0, start)) candidates.add(runner);
      return;
    }
    const localCount = this.localMembers.length > 0 ? sampleCount >> 1 : 0;
    addRandomRunners(this.localMembers, localCount, random, candidates);
    addRandomRunners(
      this.members,
      sampleCount - localCount,
      random,
      candidates,
    );
  }
}

/** Set of the runners that a decision compares, reused between decisions. */
export class Candidates {
  private readonly members: RunnerState[] = [];
  private decisionNumber = 0;

  private constructor() {
    // Instances come from create().
  }

  static create(): Candidates {
    return new Candidates();
  }

  get runners(): readonly RunnerState[] {
    return this.members;
  }

  clear(): void {
    this.members.length = 0;
    this.decisionNumber += 1;
  }

  add(runner: RunnerState): void {
    if (runner.lastDecisionNumber === this.decisionNumber) return;
    runner.lastDecisionNumber = this.decisionNumber;
    this.members.push(runner);
  }
}

function addRandomRunners(
  runners: readonly RunnerState[],
  count: number,
  random: Random,
  candidates: Candidates,
): void {
  for (let drawn = 0; drawn < count; drawn += 1) {
    candidates.add(runners[randomBelow(random, runners.length)]);
  }
}

function removeFrom(list: RunnerState[], runner: RunnerState): void {
  const index = list.indexOf(runner);
  if (index >= 0) list.splice(index, 1);
}
