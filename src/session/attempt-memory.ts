/**
 * Bounded set of attempt IDs with a retention time. An agent keeps one for
 * withdrawn attempts and one for started work that may run at most once.
 */

export class AttemptMemory {
  /** Time of addition by attempt ID, oldest first. */
  private readonly addedAtByAttempt = new Map<string, number>();
  /** An ID was evicted early: until this time, absence proves nothing. */
  private incompleteUntil = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly retentionMs: number,
    private readonly capacity: number,
  ) {}

  static create(retentionMs: number, capacity: number): AttemptMemory {
    return new AttemptMemory(retentionMs, capacity);
  }

  get size(): number {
    return this.addedAtByAttempt.size;
  }

  get isFull(): boolean {
    return this.addedAtByAttempt.size >= this.capacity;
  }

  has(attempt: string): boolean {
    return this.addedAtByAttempt.has(attempt);
  }

  /** True if absence proves that an ID wasn't added within the retention. */
  isComplete(now: number): boolean {
    return now >= this.incompleteUntil;
  }

  add(attempt: string, now: number): void {
    if (this.isFull) {
      this.evictOldest();
      this.incompleteUntil = now + this.retentionMs;
    }
    this.addedAtByAttempt.set(attempt, now);
  }

  tick(now: number): void {
    for (const [attempt, addedAt] of this.addedAtByAttempt) {
      if (now - addedAt <= this.retentionMs) return;
      this.addedAtByAttempt.delete(attempt);
    }
  }

  private evictOldest(): void {
    for (const attempt of this.addedAtByAttempt.keys()) {
      this.addedAtByAttempt.delete(attempt);
      return;
    }
  }
}
