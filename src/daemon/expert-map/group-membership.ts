/**
 * Who the group consists of, from the platform's list of VMs and from what each
 * agent says of its ranks.
 */
import {
  chooseMembers,
  type Candidate,
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
  /** Ranks by name and address; a VM in another's place has another address. */
  private readonly ranks = new Map<string, readonly number[]>();

  private constructor(private readonly options: MembershipOptions) {}

  static create(options: MembershipOptions): GroupMembership {
    return new GroupMembership(options);
  }

  /**
   * The members that the group should have, or undefined while they can't all
   * be told. Throws 1903 while the list is out; the group then stays as it is.
   */
  async read(
    rankCount: number,
    present: readonly GroupMember[],
  ): Promise<readonly GroupMember[] | undefined> {
    const { vmList, group, own, peers } = this.options;
    const vms = (await readVmList(vmList)).filter(
      (vm) => vm.role === "backend" && vm.group === group,
    );
    const others = vms.filter(({ name }) => name !== own.member);
    peers.setAddresses(
      new Map(others.map(({ name, address }) => [name, address])),
    );
    await Promise.all(others.map((vm) => this.ask(vm)));
    const candidates = vms.flatMap((vm) => this.candidate(vm));
    return chooseMembers(candidates, rankCount, present);
  }

  private async ask(vm: Vm): Promise<void> {
    const key = keyOf(vm);
    if (this.ranks.has(key)) return;
    try {
      const { ranks } = await this.options.peers.describe(vm.name);
      this.ranks.set(key, ranks);
    } catch {
      // Asked again on the next reading; until then it is no candidate.
    }
  }

  private candidate(vm: Vm): readonly Candidate[] {
    const { own } = this.options;
    const isOwn = vm.name === own.member;
    const ranks = isOwn ? own.ranks : this.ranks.get(keyOf(vm));
    if (ranks === undefined) return [];
    return [{ member: vm.name, ranks, leaving: vm.state === "leaving" }];
  }
}

function keyOf({ name, address }: Vm): string {
  return `${name} ${address}`;
}
