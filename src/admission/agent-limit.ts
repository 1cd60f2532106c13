/**
 * Concurrency limit that an agent enforces for its engine. Entries decide on
 * delayed load reports, so many of them may see the same free slot. Without
 * this limit, each would add a request to the engine's queue, which considers
 * neither fairness nor deadlines.
 */

export interface AgentLimitSettings {
  /** Requests that the engine batches at once. */
  readonly slots: number;
  /** Requests beyond the slots, as a share of them. */
  readonly queueShare: number;
}

/**
 * Share of the queue that is reserved for the highest priority, so that an
 * agent filled by lower priorities doesn't refuse it.
 */
const RESERVED_QUEUE_SHARE = 0.5;
const RESERVED_FOR_PRIORITY = 0;
/**
 * Requests that an entry may have running above the mean of all entries once
 * the slots are in use.
 */
const MAXIMUM_REQUESTS_OVER_MEAN = 2;

export class AgentLimit {
  private running = 0;
  private readonly runningByEntry = new Map<string, number>();

  private constructor(private readonly settings: AgentLimitSettings) {}

  static create(settings: AgentLimitSettings): AgentLimit {
    return new AgentLimit(settings);
  }

  get runningCount(): number {
    return this.running;
  }

  /** Counts a started attempt; false if it has to be refused. */
  tryAcquire(priority: number, entry: string): boolean {
    if (this.running >= attemptLimit(this.settings, priority)) return false;
    if (priority !== RESERVED_FOR_PRIORITY && this.isOverFairShare(entry)) {
      return false;
    }
    this.running += 1;
    this.runningByEntry.set(entry, (this.runningByEntry.get(entry) ?? 0) + 1);
    return true;
  }

  release(entry: string): void {
    this.running = Math.max(0, this.running - 1);
    const remaining = (this.runningByEntry.get(entry) ?? 0) - 1;
    if (remaining > 0) this.runningByEntry.set(entry, remaining);
    else this.runningByEntry.delete(entry);
  }

  /**
   * Once the slots are in use, an entry far above the mean of the entries is
   * refused. Entries replace each ended request at once, so without this rule
   * the entry that came first keeps its excess: of three entries at twice the
   * capacity, one had 63 requests running and another 14.
   */
  private isOverFairShare(entry: string): boolean {
    if (this.running < this.settings.slots) return false;
    const own = this.runningByEntry.get(entry) ?? 0;
    const entries = this.runningByEntry.size + (own === 0 ? 1 : 0);
    return own > MAXIMUM_REQUESTS_OVER_MEAN + this.running / entries;
  }
}

/**
 * Maximum number of requests at an agent, including a new one of the given
 * priority. Entries use the same number for placement: when they assumed one
 * limit for all priorities, agents of a saturated pool refused two attempts in
 * three.
 */
export function attemptLimit(
  { slots, queueShare }: AgentLimitSettings,
  priority: number,
): number {
  const queue = Math.ceil(slots * queueShare);
  if (priority === RESERVED_FOR_PRIORITY) return slots + queue;
  return slots + Math.ceil(queue * (1 - RESERVED_QUEUE_SHARE));
}

/** Queue share that entries assume unless the settings give another. */
const DEFAULT_QUEUE_SHARE = 0.5;

/** Attempts of an agent's maximum that the given priority may use. */
export function priorityLimit(attempts: number, priority: number): number {
  const queueShare = DEFAULT_QUEUE_SHARE;
  const slots = Math.max(1, Math.floor(attempts / (1 + queueShare)));
  return Math.min(attempts, attemptLimit({ slots, queueShare }, priority));
}
