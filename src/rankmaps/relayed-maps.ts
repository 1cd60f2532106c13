/**
 * The maps that an agent has relayed to its rank in prepare orders. The agent
 * needs one to cancel a held step's version when the planner can't.
 */
import type { MapSets } from "./types.js";

export interface RelayedMap {
  readonly version: number;
  readonly sets: MapSets;
}

/** Covers the active map, the next one and the cancelled ones in between. */
const MAXIMUM_RETAINED_MAPS = 4;

export class RelayedMaps {
  /** In ascending order of version. */
  private retained: readonly RelayedMap[] = [];

  static create(): RelayedMaps {
    return new RelayedMaps();
  }

  /** 0 until a map has been recorded. */
  get highestVersion(): number {
    return this.retained.at(-1)?.version ?? 0;
  }

  record(map: RelayedMap): void {
    if (map.version <= this.highestVersion) return;
    this.retained = [...this.retained, map].slice(-MAXIMUM_RETAINED_MAPS);
  }

  /**
   * The active map, since preparing it copies no weights; otherwise the latest
   * one.
   */
  placeholderMap(mapVersion: number): MapSets | undefined {
    const active = this.retained.find(({ version }) => version === mapVersion);
    return (active ?? this.retained.at(-1))?.sets;
  }
}
