/** Connects an entry's parts to the shared view of load. */
import type { Emit, Measurements } from "../internal.js";
import { EntryLoadClient } from "../loadview/entry-load-client.js";
import type { EntryLoad } from "../loadview/types.js";
import type { RunnerGroups } from "../membership/runner-groups.js";
import type { DirectEntrySettings } from "./settings.js";

export interface EntryLoadOptions {
  readonly settings: DirectEntrySettings;
  readonly emit: Emit;
  readonly measurements: Measurements;
  readonly runnerGroups: RunnerGroups;
  /**
   * What this entry runs and holds back, by group, or by service where it has a
   * single one.
   */
  readonly ownLoads: () => readonly EntryLoad[];
}

/** Undefined if the settings name no address for it. */
export async function startEntryLoad({
  settings: { name, loadView },
  emit,
  measurements,
  runnerGroups,
  ownLoads,
}: EntryLoadOptions): Promise<EntryLoadClient | undefined> {
  if (loadView === undefined) return undefined;
  return EntryLoadClient.create({
    address: loadView,
    now: () => performance.now(),
    random: Math.random,
    emit,
    measurements,
    name,
    groups: () => runnerGroups.planned,
    groupNamed: (group) => runnerGroups.plannedNamed(group),
    ownLoads,
  });
}
