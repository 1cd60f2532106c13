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
/** Requests that an entry may have above the mean beyond the slots. */
const OVER_MEAN = 2;

export class AgentLimit {
  private running = 0;
  private readonly byEntry = new Map<string, number>();

  private constructor(private readonly settings: AgentLimitSettings) {}

  static create(settings: AgentLimitSettings): AgentLimit {
    return new AgentLimit(settings);
  }

  get runningCount(): number {
    return this.running;
  }

  /** Takes a place; false when the attempt has to be refused. */
  enter(priority: number, entry: string): boolean {
    if (this.running >= attemptLimit(this.settings, priority)) return false;
    if (priority !== RESERVED_FOR_PRIORITY && this.isOverShare(entry)) {
      return false;
    }
    this.running += 1;
    this.byEntry.set(entry, (this.byEntry.get(entry) ?? 0) + 1);
    return true;
  }

  leave(entry: string): void {
    this.running = Math.max(0, this.running - 1);
    const left = (this.byEntry.get(entry) ?? 0) - 1;
    if (left > 0) this.byEntry.set(entry, left);
    else this.byEntry.delete(entry);
  }

  /**
   * Beyond the slots, an entry far above the mean of the entries has to wait. An entry replaces each of its ended requests at once, so without
   * this the one that came first keeps the runners: of three entries under
   * twice the load, one had 63 requests running and another 14.
   */
  private isOverShare(entry: string): boolean {
    if (this.running < this.settings.slots) return false;
    const own = this.byEntry.get(entry) ?? 0;
    const entries = this.byEntry.size + (own === 0 ? 1 : 0);
    return own > OVER_MEAN + this.running / entries;
  }
}

/**
 * Requests of a priority that an agent takes at once. Entries reckon with the
 * same number: when they knew one limit for all, two attempts in three of a
 * saturated pool were refused by agents.
 */
export function attemptLimit(
  { slots, queueShare }: AgentLimitSettings,
  priority: number,
): number {
  const queue = Math.ceil(slots * queueShare);
  if (priority === RESERVED_FOR_PRIORITY) return slots + queue;
  return slots + Math.ceil(queue * (1 - RESERVED_SHARE));
}

/** As entries reckon with unless they are told otherwise. */
const USUAL_QUEUE_SHARE = 0.5;

/** The part of an agent's places that a priority may use. */
export function priorityLimit(attempts: number, priority: number): number {
  const queueShare = USUAL_QUEUE_SHARE;
  const slots = Math.max(1, Math.floor(attempts / (1 + queueShare)));
  return Math.min(attempts, attemptLimit({ slots, queueShare }, priority));
}
