/** The runners that serve one model or plain service. */
import type { Random } from "../internal.js";
import { randomBelow } from "../internal.js";
import type { RunnerState } from "./runner.js";

export class Pool {
  private readonly members: RunnerState[] = [];
  private readonly localMembers: RunnerState[] = [];
  /** Sum of the reported counts; gives the mean at no cost. */
  private reportedSum = 0;
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

  get meanCount(): number {
    return this.size === 0 ? 0 : this.reportedSum / this.size;
  }

  add(runner: RunnerState): void {
    this.members.push(runner);
    this.reportedSum += runner.reportedCount;
    if (runner.description.dataCentre === this.dataCentre) {
      this.localMembers.push(runner);
    }
  }

  remove(runner: RunnerState): void {
    removeFrom(this.members, runner);
    removeFrom(this.localMembers, runner);
    this.reportedSum -= runner.reportedCount;
  }

  onReportChanged(difference: number): void {
    this.reportedSum += difference;
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
  sample(count: number, random: Random, into: RunnerState[]): void {
    if (this.members.length <= count) {
      for (const runner of this.members) pushNew(into, runner);
      return;
    }
    const local = this.localMembers.length > 0 ? count >> 1 : 0;
    draw(this.localMembers, local, random, into);
    draw(this.members, count - local, random, into);
  }
}

function draw(
  from: readonly RunnerState[],
  count: number,
  random: Random,
  into: RunnerState[],
): void {
  for (let drawn = 0; drawn < count; drawn += 1) {
    const runner = from.at(randomBelow(random, from.length));
    if (runner !== undefined) pushNew(into, runner);
  }
}

function pushNew(into: RunnerState[], runner: RunnerState): void {
  if (!into.includes(runner)) into.push(runner);
}

function removeFrom(list: RunnerState[], runner: RunnerState): void {
  const index = list.indexOf(runner);
  if (index >= 0) list.splice(index, 1);
}
