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
  epoch: z.int(),
  addresses: z
    .array(z.string().refine(isHostPort, "no host:port"))
    .max(MOST_RANKS),
});

export function encodeGroupNote({ epoch, addresses }: GroupNote): Buffer {
  return Buffer.from(JSON.stringify({ epoch, addresses }));
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

export class RunnerGroups {
  private readonly epochs = new Map<string, number>();
  /** Group of a runner, by host:port; the last note that names it counts. */
  private readonly byAddress = new Map<string, string>();

  static create(): RunnerGroups {
    return new RunnerGroups();
  }

  /** Groups that were ever told of. */
  get size(): number {
    return this.epochs.size;
  }

  /** True when the group has formed anew, or wasn't known before. */
  take({ name, epoch, addresses }: GroupNote): boolean {
    for (const [address, known] of this.byAddress) {
      if (known === name) this.byAddress.delete(address);
    }
    for (const address of addresses) this.byAddress.set(address, name);
    const isNew = this.epochs.get(name) !== epoch;
    this.epochs.set(name, epoch);
    return isNew;
  }

  /** `address`: host:port of a runner. */
  groupOf(address: string): string {
    return this.byAddress.get(address) ?? NO_GROUP;
  }
}
