/** Reads an entry's topics and hands their records to its parts. */
import type { Emit, Measurements } from "../internal.js";
import { LIMITS_STREAM } from "../limits/limit-sync.js";
import { GROUPS_STREAM, readGroupNotes } from "../membership/runner-groups.js";
import { PACE_STREAM, readPaceNotes } from "../membership/slow-runners.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import { SUSPECTS_STREAM } from "../suspects/suspect-sync.js";
import type { DirectEntryOptions } from "./entry-options.js";
import type { EntryParts } from "./entry-parts.js";
import { EntryTopics } from "./entry-topics.js";

export interface EntryRecordsOptions {
  readonly entry: DirectEntryOptions;
  readonly parts: EntryParts;
  readonly emit: Emit;
  readonly measurements: Measurements;
}

export class EntryRecords {
  private hasReadRegister = false;

  private constructor(private readonly options: EntryRecordsOptions) {}

  static create(options: EntryRecordsOptions): EntryRecords {
    return new EntryRecords(options);
  }

  /** Whether the configuration and the register have been read. */
  get areRead(): boolean {
    const { configuration } = this.options.parts;
    return configuration.routes !== undefined && this.hasReadRegister;
  }

  /** Follows the topics until the signal aborts. */
  follow(signal: AbortSignal): void {
    const { entry, parts, emit, measurements } = this.options;
    const { findings } = parts;
    const { drainMs } = entry.settings;
    const topics = EntryTopics.create(
      { emit, measurements, findings, drainMs },
      signal,
    );
    this.followConfiguration(topics);
    this.followNotes(topics);
    this.followRegister(topics);
  }

  private followConfiguration(topics: EntryTopics): void {
    const { configuration, evacuations, slowRunnerProbe } = this.options.parts;
    topics.followConfiguration(
      this.options.entry.configuration,
      (records) => {
        // First, so that no request is served before they are known.
        evacuations.replace(records);
        configuration.apply(records);
        this.checkEvacuations();
      },
      (records) => {
        evacuations.apply(records);
        configuration.apply(records);
        this.checkEvacuations();
      },
      {
        onReturned: () => {
          evacuations.onStoreRolledBack();
        },
        onLost: () => {
          slowRunnerProbe.onStoreLost();
        },
        onRestored: () => {
          slowRunnerProbe.onStoreRestored();
        },
      },
    );
  }

  private followNotes(topics: EntryTopics): void {
    const { entry, parts } = this.options;
    topics.followNotes(PACE_STREAM, entry.pace, (records) => {
      this.onPaceNotes(records);
    });
    topics.followNotes(GROUPS_STREAM, entry.groups, (records) => {
      this.onGroupNotes(records);
    });
    topics.followNotes(SUSPECTS_STREAM, entry.suspects, (records) => {
      parts.suspects.apply(records);
    });
    topics.followNotes(
      LIMITS_STREAM,
      entry.limits,
      (records) => {
        parts.limitSync.apply(records);
      },
      () => {
        parts.limits.onStoreLost();
        parts.sharing.onStoreLost();
      },
    );
  }

  private followRegister(topics: EntryTopics): void {
    const { directory, registerReader } = this.options.parts;
    topics.followRegister(
      this.options.entry.register,
      (records) => {
        this.onRegister(records);
      },
      (records) => {
        directory.apply(registerReader.read(records));
        this.hasReadRegister = true;
      },
      {
        onReturned: (lastCallWithoutNewEraAtMs) => {
          directory.onStoreRolledBack(lastCallWithoutNewEraAtMs);
        },
        onLost: () => {
          directory.onStoreLost();
        },
        onRestored: (lastFailedAtMs) => {
          directory.onStoreRestored(lastFailedAtMs);
        },
      },
    );
  }

  private onPaceNotes(records: readonly KeyedRecord[]): void {
    const { slowRunners, findings } = this.options.parts;
    const notes = readPaceNotes(records, findings);
    for (const note of notes) slowRunners.apply(note);
  }

  private onGroupNotes(records: readonly KeyedRecord[]): void {
    const { parts, emit, measurements } = this.options;
    const { findings, runnerGroups, scheduler } = parts;
    for (const note of readGroupNotes(records, findings)) {
      if (!runnerGroups.apply(note)) continue;
      const { name: group, epoch, addresses } = note;
      emit(234, { group, epoch, ranks: addresses.length });
      scheduler.onGroupFormed(group);
    }
    measurements.set("runnerGroups", runnerGroups.size);
  }

  private onRegister(records: readonly KeyedRecord[]): void {
    const { directory, registerReader } = this.options.parts;
    const changes = registerReader.read(records);
    // Unusable records go first: `replace` removes every server that isn't in
    // its list.
    directory.apply(changes.filter(({ isUnusable }) => isUnusable));
    directory.replace(changes.flatMap(({ server }) => server ?? []));
    this.hasReadRegister = true;
    this.checkEvacuations();
  }

  private checkEvacuations(): void {
    if (this.hasReadRegister) this.options.parts.evacuations.reportUnknown();
  }
}
