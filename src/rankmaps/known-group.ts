/**
 * The ranks of the own runner's group, found before they are needed: the store
 * that names the runners may be away by then.
 */
import type { GroupRank, RankState } from "./types.js";

export interface KnownGroupOptions {
  /** The own rank. Throws 1607. */
  readonly observeOwn: () => Promise<RankState>;
  /** The ranks that can be reached of the own one's group. Throws 1901. */
  readonly find: (own: RankState) => Promise<readonly GroupRank[]>;
  readonly onFailure: (error: unknown) => void;
}

export class KnownGroup {
  private known: readonly GroupRank[] = [];
  private isStale = true;
  /** The last search in this epoch failed. */
  private hasFailed = false;
  private epoch: number | undefined;

  private constructor(private readonly options: KnownGroupOptions) {}

  static create(options: KnownGroupOptions): KnownGroup {
    return new KnownGroup(options);
  }

  /** As found last. */
  get ranks(): readonly GroupRank[] {
    return this.known;
  }

  /** Whichever rank is missing may have come back at another address. */
  markStale(): void {
    this.isStale = true;
    this.hasFailed = false;
  }

  /**
   * Throws 1607, and 1901 while the group hasn't been found. A group gets a new
   * epoch when a rank starts again, maybe at another address: taken from before,
   * that rank could be neither armed nor seen, and a held step would stay held.
   */
  async read(): Promise<readonly GroupRank[]> {
    const own = await this.options.observeOwn();
    const isWhole = this.known.length === own.size;
    const isPresent = this.epoch === own.epoch;
    // After a failure the best guess has to do: a held step can't wait while
    // each look at its group tries a store that is away.
    const isEnough = !this.isStale || this.hasFailed;
    if (isWhole && isPresent && isEnough) return this.known;
    try {
      this.known = await this.options.find(own);
      this.isStale = false;
      this.hasFailed = false;
    } catch (error) {
      if (!isWhole) throw error;
      this.isStale = true;
      this.hasFailed = true;
      this.options.onFailure(error);
    }
    this.epoch = own.epoch;
    return this.known;
  }

  /** Unless nothing has shown that what is known is out of date. */
  async prepare(size: number): Promise<void> {
    if (this.known.length === size && !this.isStale) return;
    this.hasFailed = false;
    try {
      await this.read();
    } catch (error) {
      this.options.onFailure(error);
    }
  }
}
