/**
 * The ranks of the own runner's group. Whoever plans for it finds them among all
 * runners of the service and tells the others with each map to prepare, so that
 * one agent of a group looks for it, not all: with hundreds of runners each
 * search costs half a second of a core. Within an epoch nobody joins or leaves.
 */
import type { GroupRank, RankState } from "./types.js";

export interface KnownGroupOptions {
  /** The own rank. Throws 1607. */
  readonly observeOwn: () => Promise<RankState>;
  /** The ranks that can be reached of the own one's group. Throws 1901. */
  readonly find: (own: RankState) => Promise<readonly GroupRank[]>;
  /** `address`: host:port of the runner. */
  readonly rankAt: (address: string) => GroupRank;
  readonly onFailure: (error: unknown) => void;
}

interface ToldGroup {
  readonly epoch: number;
  /** host:port of the runners. */
  readonly addresses: readonly string[];
}

export class KnownGroup {
  private told: ToldGroup | undefined;
  private known: readonly GroupRank[] = [];
  private isStale = true;
  /** The last search in this epoch failed. */
  private hasFailed = false;
  private epoch: number | undefined;

  private constructor(private readonly options: KnownGroupOptions) {}

  static create(options: KnownGroupOptions): KnownGroup {
    return new KnownGroup(options);
  }

  /** What the planner says of the group; the store may be away by now. */
  tell(epoch: number, addresses: readonly string[]): void {
    // Of an order that was carried out late.
    if (this.told !== undefined && epoch < this.told.epoch) return;
    this.told = { epoch, addresses };
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
    if (!isPresent && this.isTold(own)) return this.takeTold(own);
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

  private isTold({ epoch, size }: RankState): boolean {
    return this.told?.epoch === epoch && this.told.addresses.length === size;
  }

  private takeTold({ epoch }: RankState): readonly GroupRank[] {
    const addresses = this.told?.addresses ?? [];
    this.known = addresses.map((address) => this.options.rankAt(address));
    this.epoch = epoch;
    this.isStale = false;
    this.hasFailed = false;
    return this.known;
  }
}
