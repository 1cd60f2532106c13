/** The runners that serve one model or plain service. */
import type { Random } from "../internal.js";
import { randomBelow } from "../internal.js";
import type { RunnerState } from "./runner.js";
import type { PlacementTuning } from "./types.js";

export class Pool {
  private readonly members: RunnerState[] = [];
  private readonly localMembers: RunnerState[] = [];
  /** Sum of the others' requests; gives the mean at no cost. */
  private othersSum = 0;
  /** Running mean of nominal work and of tokens a request. */
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

  get meanOthers(): number {
    return this.size === 0 ? 0 : this.othersSum / this.size;
  }

  add(runner: RunnerState): void {
    this.members.push(runner);
    this.othersSum += runner.othersCount;
    if (runner.description.dataCentre === this.dataCentre) {
      this.localMembers.push(runner);
    }
  }

  remove(runner: RunnerState): void {
    removeFrom(this.members, runner);
    removeFrom(this.localMembers, runner);
    this.othersSum -= runner.othersCount;
  }

  onOthersChanged(difference: number): void {
    this.othersSum += difference;
  }

  onRequest(workMs: number, tokens: number): void {
    const SHARE = 0.02;
    this.meanWorkMs += SHARE * (workMs - this.meanWorkMs);
    this.meanTokens += SHARE * (tokens - this.meanTokens);
  }

  /**
   * All runners of a small pool; else half of the samples from the own data
   * centre and half from all. A full scan of a large pool costs more than a
   * decision may, and many entries that all see the same least loaded runner
   * in the same old reports would all send there.
   */
  sample(
    { scanUpTo, samples }: PlacementTuning,
    random: Random,
    candidates: Candidates,
  ): void {
    if (this.members.length <= scanUpTo) {
      // From a random start: entries that see ties don't all take the first.
      const start = randomBelow(random, this.members.length);
      for (const runner of this.members.slice(start)) candidates.add(runner);
      for (const runner of this.members.slice(0, start)) candidates.add(runner);
      return;
    }
    const local = this.localMembers.length > 0 ? samples >> 1 : 0;
    draw(this.localMembers, local, random, candidates);
    draw(this.members, samples - local, random, candidates);
  }
}

/** Runners that one decision compares, each once; reused by the next one. */
export class Candidates {
  private readonly chosen: RunnerState[] = [];
  private decision = 0;

  private constructor() {
    // Made by create.
  }

  static create(): Candidates {
    return new Candidates();
  }

  get runners(): readonly RunnerState[] {
    return this.chosen;
  }

  clear(): void {
    this.chosen.length = 0;
    this.decision += 1;
  }

  add(runner: RunnerState): void {
    if (runner.lastDecision === this.decision) return;
    runner.lastDecision = this.decision;
    this.chosen.push(runner);
  }
}

function draw(
  from: readonly RunnerState[],
  count: number,
  random: Random,
  candidates: Candidates,
): void {
  for (let drawn = 0; drawn < count; drawn += 1) {
    candidates.add(from[randomBelow(random, from.length)]);
  }
}

function removeFrom(list: RunnerState[], runner: RunnerState): void {
  const index = list.indexOf(runner);
  if (index >= 0) list.splice(index, 1);
}
