/**
 * Requests of a pool that were refused a moment ago. An entry with little room
 * refuses most of its callers at once, so those that wait don't show how much
 * room they need.
 */
import type { Now } from "../internal.js";
import type { AdmissionRequest, WaitingRequests } from "./types.js";

interface Refused {
  readonly priority: number;
  readonly atMs: number;
}

/** Time for which a refusal counts, ms: about that of a share's change. */
const COUNTED_MS = 250;

export class RecentRefusals {
  private refused: readonly Refused[] = [];

  private constructor(private readonly now: Now) {}

  static create(now: Now): RecentRefusals {
    return new RecentRefusals(now);
  }

  add({ priority }: AdmissionRequest): void {
    this.refused = [...this.counted(), { priority, atMs: this.now() }];
  }

  addTo(waiting: readonly WaitingRequests[]): readonly WaitingRequests[] {
    const byPriority = new Map(waiting.map((load) => [load.priority, load]));
    for (const { priority, atMs } of this.counted()) {
      const known = byPriority.get(priority);
      byPriority.set(priority, {
        priority,
        waiting: (known?.waiting ?? 0) + 1,
        oldestArrivedAtMs: Math.min(known?.oldestArrivedAtMs ?? atMs, atMs),
      });
    }
    return [...byPriority.values()];
  }

  private counted(): readonly Refused[] {
    const fromMs = this.now() - COUNTED_MS;
    return this.refused.filter(({ atMs }) => atMs >= fromMs);
  }
}
