/**
 * Names of attempts that an agent must not forget: those it has withdrawn,
 * and the started ones of work that may run at most once.
 */

export class AttemptMemory {
  /** Attempt to the time it was added, oldest first. */
  private readonly added = new Map<string, number>();
  /** A name was dropped early; until then absence proves nothing. */
  private incompleteUntil = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly rememberMs: number,
    private readonly maximum: number,
  ) {}

  static create(rememberMs: number, maximum: number): AttemptMemory {
    return new AttemptMemory(rememberMs, maximum);
  }

  get size(): number {
    return this.added.size;
  }

  get isFull(): boolean {
    return this.added.size >= this.maximum;
  }

  has(attempt: string): boolean {
    return this.added.has(attempt);
  }

  /** True if a name that isn't here was never added within the time. */
  isComplete(now: number): boolean {
    return now >= this.incompleteUntil;
  }

  add(attempt: string, now: number): void {
    if (this.isFull) {
      this.dropOldest();
      this.incompleteUntil = now + this.rememberMs;
    }
    this.added.set(attempt, now);
  }

  tick(now: number): void {
    for (const [attempt, addedAt] of this.added) {
      if (now - addedAt <= this.rememberMs) return;
      this.added.delete(attempt);
    }
  }

  private dropOldest(): void {
    for (const attempt of this.added.keys()) {
      this.added.delete(attempt);
      return;
    }
  }
}
