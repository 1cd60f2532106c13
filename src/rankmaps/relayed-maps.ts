/**
 * The maps that an agent has relayed to its rank in prepare orders. The agent
 * needs one to cancel a held step's version when the planner can't.
 */
import { isCancellationVersion } from "./map-versions.js";
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

  /**
   * Version of the latest map that changes can be applied to; undefined until
   * one has been recorded. Cancellation versions may name several maps.
   */
  get latestVersion(): number | undefined {
    return this.retained.findLast(
      ({ version }) => !isCancellationVersion(version),
    )?.version;
  }

  find(version: number): RelayedMap | undefined {
    return this.retained.find((map) => map.version === version);
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
