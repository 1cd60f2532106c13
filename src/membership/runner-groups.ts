/**
 * Which backend servers form a group, as published by the planner of each
 * group. All ranks of a group execute each step together, slow down together
 * and refuse requests together, so an entry decides by group how many requests
 * it sends and where.
 */
import { isIPv4 } from "node:net";
import * as z from "zod";
import { toFailure } from "../internal.js";
import { decodeJson } from "../platform/json-value.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { isHostPort } from "./host-port.js";

/** Members of one group, as its planner last saw it complete. */
export interface GroupNote {
  /** Name of the service and the group, as `service.group`. */
  readonly name: string;
  readonly service: string;
  /** Changes whenever the group is formed again. */
  readonly epoch: number;
  /** Addresses of its runners, host:port. */
  readonly addresses: readonly string[];
  /**
   * IPv4 address:port at which the planner receives entries' loads; absent if
   * it receives none.
   */
  readonly planner?: string;
}

/** A group whose planner receives entries' loads. */
export type PlannedGroup = GroupNote & { readonly planner: string };

/** Stream name under which unreadable notes are reported. */
export const GROUPS_STREAM = "groups";

/** Group name of runners that belong to no known group. */
export const NO_GROUP = "";

const MAXIMUM_RANKS = 4096;

const valueSchema = z.object({
  service: z.string().min(1),
  epoch: z.int(),
  addresses: z
    .array(z.string().refine(isHostPort, "not a host:port"))
    .max(MAXIMUM_RANKS),
  planner: z.unknown().optional(),
});

export function encodeGroupNote(note: GroupNote): Buffer {
  const { service, epoch, addresses, planner } = note;
  return Buffer.from(JSON.stringify({ service, epoch, addresses, planner }));
}

/**
 * Returns the readable notes and reports the others as findings. Doesn't throw.
 */
export function readGroupNotes(
  records: readonly KeyedRecord[],
  findings: RecordFindings,
): readonly GroupNote[] {
  return records.flatMap(({ key, value }) => {
    if (value === undefined || key === NO_GROUP) return [];
    try {
      const { planner, ...members } = decodeJson(valueSchema, value);
      const note = { name: key, ...members };
      if (planner === undefined) return note;
      if (isPlannerAddress(planner)) return { ...note, planner };
      const reason = "planner: not an IPv4 address:port";
      findings.report({ stream: GROUPS_STREAM, key, content: value, reason });
      return note;
    } catch (error) {
      const reason = toFailure(error, 1903).message;
      findings.report({ stream: GROUPS_STREAM, key, content: value, reason });
      return [];
    }
  });
}

function isPlannerAddress(value: unknown): value is string {
  if (typeof value !== "string" || !isHostPort(value)) return false;
  return isIPv4(value.slice(0, value.lastIndexOf(":")));
}

/** Services with fewer groups aren't divided by group. */
const MINIMUM_GROUPS = 2;

function isPlanned(note: GroupNote): note is PlannedGroup {
  return note.planner !== undefined;
}

export class RunnerGroups {
  private readonly epochs = new Map<string, number>();
  /**
   * By address of the runner, host:port; the last note that names it applies.
   */
  private readonly byAddress = new Map<string, GroupNote>();
  /** Names of the groups that have runners, by service. */
  private readonly groupsByService = new Map<string, Set<string>>();
  private plannedGroups: readonly PlannedGroup[] = [];

  static create(): RunnerGroups {
    return new RunnerGroups();
  }

  /** Number of groups seen since the start. */
  get size(): number {
    return this.epochs.size;
  }

  /** Groups that have runners, and planners that receive entries' loads. */
  get planned(): readonly PlannedGroup[] {
    return this.plannedGroups;
  }

  /** Returns whether the group has been formed again or wasn't known. */
  apply(note: GroupNote): boolean {
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
   * Group of the runner at the address, host:port. If the service has only one
   * group, its runners aren't distinguished: one that has just restarted
   * belongs to the group before the planner publishes it.
   */
  groupOf(address: string): string {
    const note = this.byAddress.get(address);
    if (note === undefined) return NO_GROUP;
    const groups = this.groupsByService.get(note.service)?.size ?? 0;
    return groups < MINIMUM_GROUPS ? NO_GROUP : note.name;
  }

  /**
   * Name of the planned group that the name stands for: the group's own, or
   * that of a service with a single group.
   */
  plannedNamed(name: string): string | undefined {
    const groups = this.groupsByService.get(name);
    const [only] = groups?.size === 1 ? groups : [name];
    return this.plannedGroups.find((group) => group.name === only)?.name;
  }

  private countGroups(): void {
    this.groupsByService.clear();
    const notes = new Set(this.byAddress.values());
    for (const { service, name } of notes) {
      const groups = this.groupsByService.get(service) ?? new Set();
      this.groupsByService.set(service, groups.add(name));
    }
    this.plannedGroups = [...notes].filter(isPlanned);
  }
}
