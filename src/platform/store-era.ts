/**
 * The era of the platform's store. When the store comes back from a copy, all
 * that was written since the copy is gone, and offsets and generations are given
 * out again. Each such return begins a new era, which every answer names.
 */

/** Of a store that names none. */
export const FIRST_ERA = 0;

export class StoreEra {
  private highest = FIRST_ERA;
  private readonly listeners = new Set<(era: number) => void>();

  private constructor() {
    // Made by create.
  }

  static create(): StoreEra {
    return new StoreEra();
  }

  /** The latest that an answer has named. */
  get current(): number {
    return this.highest;
  }

  /**
   * False for an answer of an earlier era than the current one, which tells what
   * the store has lost. `era`: as the answer names it, if it does.
   */
  see(era: number | undefined): boolean {
    if (era === undefined || era === this.highest) return true;
    if (era < this.highest) return false;
    this.highest = era;
    for (const listener of this.listeners) listener(era);
    return true;
  }

  /** Called for each new era, the first that is seen included. */
  onRise(listener: (era: number) => void): void {
    this.listeners.add(listener);
  }
}
