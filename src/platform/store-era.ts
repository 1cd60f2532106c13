/**
 * Era of the platform's store, an epoch number that every answer carries. When
 * the store is restored from a copy, everything written since the copy is lost,
 * and offsets and generations are reused. Each such restore starts a new era.
 */

/** Era of a store whose answers don't name one. */
export const FIRST_ERA = 0;

export class StoreEra {
  private highest = FIRST_ERA;
  private readonly listeners = new Set<(era: number) => void>();

  private constructor() {
    // Use `create`.
  }

  static create(): StoreEra {
    return new StoreEra();
  }

  /** Latest era named by an answer. */
  get current(): number {
    return this.highest;
  }

  /**
   * False if the answer is of an earlier era than the current one; it may
   * contain records that the store has lost since. `era`: undefined if the
   * answer doesn't name one.
   */
  observe(era: number | undefined): boolean {
    if (era === undefined || era === this.highest) return true;
    if (era < this.highest) return false;
    this.highest = era;
    for (const listener of this.listeners) listener(era);
    return true;
  }

  /** Registers a listener for every new era, including the first one seen. */
  onNewEra(listener: (era: number) => void): void {
    this.listeners.add(listener);
  }
}
