/**
 * The agent's own limit: the last word on what its engine gets. Made for many
 * entries that all saw the same free slot in the same late report: without it
 * the engine's queue would grow by one request of each entry, where neither
 * fairness nor deadlines are looked at.
 */

export interface AgentLimitSettings {
  /** Requests that the engine batches at once. */
  readonly slots: number;
  /** Requests beyond the slots, as a share of them. */
  readonly queueShare: number;
}

/**
 * Part of the queue that only the first priority may use, so that the others
 * can't make the agent refuse it.
 */
const RESERVED_SHARE = 0.5;
const RESERVED_FOR_PRIORITY = 0;

export class AgentLimit {
  private running = 0;

  private constructor(private readonly settings: AgentLimitSettings) {}

  static create(settings: AgentLimitSettings): AgentLimit {
    return new AgentLimit(settings);
  }

  get runningCount(): number {
    return this.running;
  }

  /** Takes a place; false when the attempt has to be refused. */
  enter(priority: number): boolean {
    if (this.running >= this.limitFor(priority)) return false;
    this.running += 1;
    return true;
  }

  leave(): void {
    this.running = Math.max(0, this.running - 1);
  }

  private limitFor(priority: number): number {
    const { slots, queueShare } = this.settings;
    const queue = Math.ceil(slots * queueShare);
    if (priority === RESERVED_FOR_PRIORITY) return slots + queue;
    return slots + Math.ceil(queue * (1 - RESERVED_SHARE));
  }
}
