/**
 * The maps that a rank was told to prepare over its agent: what the agent needs
 * to make a held step's version void when the planner can't.
 */
import type { MapSets } from "./types.js";

export interface RelayedMap {
  readonly version: number;
  readonly sets: MapSets;
}

/** The one in use, the one that is to follow, and what was given up between. */
const KEPT = 4;

export class RelayedMaps {
  /** By rising version. */
  private kept: readonly RelayedMap[] = [];

  static create(): RelayedMaps {
    return new RelayedMaps();
  }

  /** 0 before the first. */
  get highestVersion(): number {
    return this.kept.at(-1)?.version ?? 0;
  }

  note(map: RelayedMap): void {
    if (map.version <= this.highestVersion) return;
    this.kept = [...this.kept, map].slice(-KEPT);
  }

  /** The map in use, since it needs no copies, or else any. */
  spareMap(mapVersion: number): MapSets | undefined {
    const inUse = this.kept.find(({ version }) => version === mapVersion);
    return (inUse ?? this.kept.at(-1))?.sets;
  }
}
