/** Finds the ranks of the agent's group among the registered runners. */
import type { GroupRank, RankState } from "./types.js";

export interface GroupSearchOptions {
  /** host:port of the service's registered runners. Throws 1901. */
  readonly registeredAddresses: () => Promise<readonly string[]>;
  /** `address`: host:port of the runner. */
  readonly rankAt: (address: string) => GroupRank;
  /**
   * Called for a runner of another group, whose connections would otherwise
   * stay open without use.
   */
  readonly forgetRank: (address: string) => void;
  readonly onUnreachable: (error: unknown) => void;
}

export class GroupSearch {
  /** host:port of runners that were seen in another group. */
  private readonly otherGroupRunners = new Set<string>();

  private constructor(private readonly options: GroupSearchOptions) {}

  static create(options: GroupSearchOptions): GroupSearch {
    return new GroupSearch(options);
  }

  /** Throws 1901. */
  async find(own: RankState): Promise<readonly GroupRank[]> {
    const addresses = await this.options.registeredAddresses();
    const isInOtherGroup = (address: string): boolean =>
      this.otherGroupRunners.has(address);
    const likely = addresses.filter((address) => !isInOtherGroup(address));
    const members = await this.membersAmong(likely, own);
    if (members.length === own.size) return members;
    // A runner may restart in another group.
    const unlikely = addresses.filter(isInOtherGroup);
    return [...members, ...(await this.membersAmong(unlikely, own))];
  }

  private async membersAmong(
    addresses: readonly string[],
    { group }: RankState,
  ): Promise<readonly GroupRank[]> {
    const { rankAt, forgetRank } = this.options;
    const ranks = addresses.map(rankAt);
    const groups = await Promise.all(ranks.map((rank) => this.groupOf(rank)));
    ranks.forEach(({ address }, index) => {
      if (groups[index] === group) this.otherGroupRunners.delete(address);
      else if (groups[index] !== undefined) {
        this.otherGroupRunners.add(address);
        forgetRank(address);
      }
    });
    return ranks.filter((_, index) => groups[index] === group);
  }

  private async groupOf(rank: GroupRank): Promise<string | undefined> {
    try {
      const request = { withCounts: false, withExperts: false };
      const { state } = await rank.observe(request);
      return state.group;
    } catch (error) {
      this.options.onUnreachable(error);
      return undefined;
    }
  }
}
