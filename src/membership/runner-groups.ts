/**
 * Which backend servers form a group, as the planner of each group tells the
 * entries. All ranks of a group make each step together, slow down together and
 * refuse together, so an entry decides by group how much it sends and where.
 */
import { z } from "zod";
import { toFailure } from "../internal.js";
import { decodeJson } from "../platform/json-value.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { isHostPort } from "./host-port.js";

/** The members of one group, as its planner last saw it whole. */
export interface GroupNote {
  /** Service and group. */
  readonly name: string;
  readonly service: string;
  /** New whenever the group was formed anew. */
  readonly epoch: number;
  /** host:port of its runners. */
  readonly addresses: readonly string[];
}

/** The name under which findings on notes are told. */
export const GROUPS_STREAM = "groups";

/** Of runners that belong to no known group. */
export const NO_GROUP = "";

const MOST_RANKS = 4096;

const valueSchema = z.object({
  service: z.string().min(1),
  epoch: z.int(),
  addresses: z
    .array(z.string().refine(isHostPort, "no host:port"))
    .max(MOST_RANKS),
});

export function encodeGroupNote(note: GroupNote): Buffer {
  const { service, epoch, addresses } = note;
  return Buffer.from(JSON.stringify({ service, epoch, addresses }));
}

/** The notes that can be read; the others are findings. Doesn't throw. */
export function readGroupNotes(
  records: readonly KeyedRecord[],
  findings: RecordFindings,
): readonly GroupNote[] {
  return records.flatMap(({ key, value }) => {
    if (value === undefined || key === NO_GROUP) return [];
    try {
      return { name: key, ...decodeJson(valueSchema, value) };
    } catch (error) {
      const reason = toFailure(error, 1903).message;
      findings.note({ stream: GROUPS_STREAM, key, content: value, reason });
      return [];
    }
  });
}

/** Services with fewer groups are decided on as a whole. */
const LEAST_GROUPS = 2;

export class RunnerGroups {
  private readonly epochs = new Map<string, number>();
  /** By host:port of a runner; the last note that names it counts. */
  private readonly byAddress = new Map<string, GroupNote>();
  /** Groups that have runners, by service. */
  private readonly ofService = new Map<string, Set<string>>();

  static create(): RunnerGroups {
    return new RunnerGroups();
  }

  /** Groups that were ever told of. */
  get size(): number {
    return this.epochs.size;
  }

  /** True when the group has formed anew, or wasn't known before. */
  take(note: GroupNote): boolean {
    const { name, epoch, addresses } = note;
    for (const [address, known] of this.byAddress) {
      if (known.name === name) this.byAddress.delete(address);
    }
    for (const address of addresses) this.byAddress.set(address, note);
    this.countGroups();
    const isNew = this.epochs.get(name) !== epoch;
    this.epochs.set(name, epoch);
    return isNew;
  }

  /**
   * `address`: host:port of a runner. In a service with one group no runner is told
   * apart: one that has just come back belongs to it before its planner says so.
   */
  groupOf(address: string): string {
    const note = this.byAddress.get(address);
    if (note === undefined) return NO_GROUP;
    const groups = this.ofService.get(note.service)?.size ?? 0;
    return groups < LEAST_GROUPS ? NO_GROUP : note.name;
  }

  private countGroups(): void {
    this.ofService.clear();
    for (const { service, name } of this.byAddress.values()) {
      const groups = this.ofService.get(service) ?? new Set();
      this.ofService.set(service, groups.add(name));
    }
  }
}
