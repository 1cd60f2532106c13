/**
 * The ranks of the group that this agent's runner belongs to. The planner
 * discovers them among all runners of the service and announces them with each
 * prepare order, so that only one agent per group searches: with hundreds of
 * runners, each search costs half a second of a core. Membership is fixed
 * within an epoch.
 */
import type { GroupRank, RankState } from "./types.js";

export interface GroupMembersOptions {
  /** Observes this agent's rank. Throws 1607. */
  readonly observeOwn: () => Promise<RankState>;
  /** Discovers the reachable ranks of this agent's group. Throws 1901. */
  readonly discover: (own: RankState) => Promise<readonly GroupRank[]>;
  /** `address`: host:port of the runner. */
  readonly rankAt: (address: string) => GroupRank;
  readonly onFailure: (error: unknown) => void;
}

interface MembershipNotice {
  readonly epoch: number;
  /** host:port of the runners. */
  readonly members: readonly string[];
}

export class GroupMembers {
  private notice: MembershipNotice | undefined;
  private members: readonly GroupRank[] = [];
  private isStale = true;
  /** The last search in this epoch failed. */
  private hasSearchFailed = false;
  private epoch: number | undefined;

  private constructor(private readonly options: GroupMembersOptions) {}

  static create(options: GroupMembersOptions): GroupMembers {
    return new GroupMembers(options);
  }

  /**
   * Records the members that the planner announces; they stay usable while the
   * store is unreachable.
   */
  announce(epoch: number, addresses: readonly string[]): void {
    // The order was carried out late.
    if (this.notice !== undefined && epoch < this.notice.epoch) return;
    this.notice = { epoch, members: addresses };
  }

  /** The members known from the last read. */
  get ranks(): readonly GroupRank[] {
    return this.members;
  }

  /**
   * Makes the next read search again: a missing rank may have restarted at
   * another address.
   */
  markStale(): void {
    this.isStale = true;
    this.hasSearchFailed = false;
  }

  /**
   * Throws 1607, and 1901 until the group has been found. A group gets a new
   * epoch when a rank restarts, possibly at another address. With the old
   * address, that rank could be neither armed nor observed, and a held step
   * would stay held.
   */
  async read(): Promise<readonly GroupRank[]> {
    const own = await this.options.observeOwn();
    const isComplete = this.members.length === own.size;
    const isCurrentEpoch = this.epoch === own.epoch;
    // After a failed search the known members are used: a held step can't wait
    // while every read calls an unreachable store.
    const canReuse = !this.isStale || this.hasSearchFailed;
    if (isComplete && isCurrentEpoch && canReuse) return this.members;
    if (!isCurrentEpoch && this.isAnnounced(own)) return this.useAnnounced(own);
    try {
      this.members = await this.options.discover(own);
      this.isStale = false;
      this.hasSearchFailed = false;
    } catch (error) {
      if (!isComplete) throw error;
      this.isStale = true;
      this.hasSearchFailed = true;
      this.options.onFailure(error);
    }
    this.epoch = own.epoch;
    return this.members;
  }

  private isAnnounced({ epoch, size }: RankState): boolean {
    return this.notice?.epoch === epoch && this.notice.members.length === size;
  }

  private useAnnounced({ epoch }: RankState): readonly GroupRank[] {
    const addresses = this.notice?.members ?? [];
    this.members = addresses.map((address) => this.options.rankAt(address));
    this.epoch = epoch;
    this.isStale = false;
    this.hasSearchFailed = false;
    return this.members;
  }
}
