/** Running attempts of one service's runners by priority. */
import type { Runner } from "./runner.js";

export class PriorityUsage {
  private readonly runningByRunner = new Map<Runner, Map<number, number>>();

  private constructor() {
    // Instances come from create().
  }

  static create(): PriorityUsage {
    return new PriorityUsage();
  }

  onStarted(runner: Runner, priority: number): void {
    const running =
      this.runningByRunner.get(runner) ?? new Map<number, number>();
    running.set(priority, (running.get(priority) ?? 0) + 1);
    this.runningByRunner.set(runner, running);
  }

  onReleased(runner: Runner, priority: number): void {
    const running = this.runningByRunner.get(runner);
    if (running === undefined) return;
    const left = (running.get(priority) ?? 0) - 1;
    if (left > 0) running.set(priority, left);
    else running.delete(priority);
    if (running.size === 0) this.runningByRunner.delete(runner);
  }

  /** Running attempts by priority at the runners that `isCounted` selects. */
  runningAt(
    isCounted: (runner: Runner) => boolean,
  ): ReadonlyMap<number, number> {
    const sums = new Map<number, number>();
    for (const [runner, running] of this.runningByRunner) {
      if (!isCounted(runner)) continue;
      for (const [priority, count] of running) {
        sums.set(priority, (sums.get(priority) ?? 0) + count);
      }
    }
    return sums;
  }
}
