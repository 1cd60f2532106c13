/**
 * Determines the members of a group from the platform's VM list and from the
 * ranks that each agent reports.
 */
import {
  chooseMembers,
  type MemberCandidate,
  type GroupMember,
} from "../../internal.js";
import { readVmList, type Vm } from "../../platform/vm-list-client.js";
import type { MapPeers } from "./peers.js";

export interface MembershipOptions {
  readonly vmList: string;
  readonly group: string;
  readonly own: GroupMember;
  readonly peers: MapPeers;
}

export class GroupMembership {
  /** By name and address: a VM that replaces another has a new address. */
  private readonly ranksByVm = new Map<string, readonly number[]>();

  private constructor(private readonly options: MembershipOptions) {}

  static create(options: MembershipOptions): GroupMembership {
    return new GroupMembership(options);
  }

  /**
   * The members that the group should have; undefined while a rank has no
   * member. Throws 1903 while the VM list is unavailable; the group then stays
   * as it is.
   */
  async read(
    rankCount: number,
    currentMembers: readonly GroupMember[],
  ): Promise<readonly GroupMember[] | undefined> {
    const { vmList, group, own, peers } = this.options;
    const vms = (await readVmList(vmList)).filter(
      (vm) => vm.role === "backend" && vm.group === group,
    );
    const others = vms.filter(({ name }) => name !== own.member);
    peers.setAddresses(
      new Map(others.map(({ name, address }) => [name, address])),
    );
    await Promise.all(others.map((vm) => this.fetchRanks(vm)));
    const candidates = vms.flatMap((vm) => this.toCandidates(vm));
    return chooseMembers(candidates, rankCount, currentMembers);
  }

  private async fetchRanks(vm: Vm): Promise<void> {
    const key = vmKey(vm);
    if (this.ranksByVm.has(key)) return;
    try {
      const { ranks } = await this.options.peers.describe(vm.name);
      this.ranksByVm.set(key, ranks);
    } catch {
      // Retried on the next read; until then the VM isn't a candidate.
    }
  }

  private toCandidates(vm: Vm): readonly MemberCandidate[] {
    const { own } = this.options;
    const isOwn = vm.name === own.member;
    const ranks = isOwn ? own.ranks : this.ranksByVm.get(vmKey(vm));
    if (ranks === undefined) return [];
    return [{ member: vm.name, ranks, leaving: vm.state === "leaving" }];
  }
}

function vmKey({ name, address }: Vm): string {
  return `${name} ${address}`;
}
