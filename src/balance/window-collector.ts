/**
 * Aggregates the step reports of one agent's ranks into one report per window.
 * A window is a range of step numbers, so that all ranks use the same windows
 * without a shared clock.
 */
import {
  EMPTY_SLOT,
  type ExpertMap,
  type GroupShape,
  type RankReport,
} from "./types.js";

/** Report of one rank on one step. */
export interface RankStep {
  readonly rank: number;
  readonly step: number;
  /** Version of the map that the step ran on. */
  readonly version: number;
  /** Compute time, without waiting for other ranks. */
  readonly durationMs: number;
  /** Tokens of each expert of each layer. */
  readonly counts: readonly (readonly number[])[];
}

export interface WindowSettings {
  readonly windowSteps: number;
  /** Steps after the end of a window during which late reports still count. */
  readonly lateSteps: number;
  /** A window with a smaller share of its steps counted isn't reported. */
  readonly minimumStepShare: number;
}

/**
 * 2,000 steps of 5 ms make windows of ten seconds, which the planner's
 * constants assume. Reports arrive up to half a second late (100 steps).
 */
export const DEFAULT_WINDOW_SETTINGS: WindowSettings = {
  windowSteps: 2000,
  lateSteps: 100,
  minimumStepShare: 0.25,
};

interface OpenWindow {
  readonly window: number;
  readonly map: ExpertMap;
  readonly tokens: Float64Array;
  /** Steps counted so far: reports repeated after a lost answer count once. */
  readonly steps: Set<number>;
  busySeconds: number;
  requestTokens: number;
}

export class WindowCollector {
  private readonly open = new Map<number, OpenWindow[]>();
  /** Last window returned per rank, so that none is returned twice. */
  private readonly lastClosedWindow = new Map<number, number>();

  private constructor(private readonly settings: WindowSettings) {}

  static create(
    settings: WindowSettings = DEFAULT_WINDOW_SETTINGS,
  ): WindowCollector {
    return new WindowCollector(settings);
  }

  /**
   * Adds a step; returns the windows of its rank that it completes. `map` is
   * the map in force, `requestTokens` the work of the rank's own requests since
   * the previous step.
   */
  add(
    step: RankStep,
    map: ExpertMap,
    requestTokens: number,
  ): readonly RankReport[] {
    // Counts under another map would be assigned to the wrong slots.
    if (step.version !== map.version) return [];
    const window = Math.floor(step.step / this.settings.windowSteps);
    if (window <= (this.lastClosedWindow.get(step.rank) ?? -1)) return [];
    this.addTo(this.windowOf(step.rank, window, map), step, requestTokens);
    return this.closeFinished(step);
  }

  /** Clears all state; a group that forms again restarts its step numbers. */
  reset(): void {
    this.open.clear();
    this.lastClosedWindow.clear();
  }

  private windowOf(rank: number, window: number, map: ExpertMap): OpenWindow {
    const windows = this.open.get(rank) ?? [];
    const existing = windows.find(
      (item) => item.window === window && item.map.version === map.version,
    );
    if (existing !== undefined) return existing;
    const { layers, slotsPerRank } = map.shape;
    const created: OpenWindow = {
      window,
      map,
      tokens: new Float64Array(layers * slotsPerRank),
      steps: new Set(),
      busySeconds: 0,
      requestTokens: 0,
    };
    // A map switch within a window restarts it under the new map.
    const others = windows.filter((item) => item.window !== window);
    this.open.set(rank, [...others, created]);
    return created;
  }

  private addTo(
    open: OpenWindow,
    { rank, step, counts, durationMs }: RankStep,
    requestTokens: number,
  ): void {
    if (open.steps.has(step)) return;
    addCounts(open, rank, counts);
    open.steps.add(step);
    open.busySeconds += durationMs / 1000;
    open.requestTokens += requestTokens;
  }

  private closeFinished({ rank, step }: RankStep): readonly RankReport[] {
    const { windowSteps, lateSteps } = this.settings;
    const windows = this.open.get(rank) ?? [];
    const isFinished = ({ window }: OpenWindow): boolean =>
      step >= (window + 1) * windowSteps + lateSteps;
    const finished = windows.filter(isFinished);
    if (finished.length === 0) return [];
    this.open.set(
      rank,
      windows.filter((item) => !isFinished(item)),
    );
    const last = Math.max(...finished.map(({ window }) => window));
    this.lastClosedWindow.set(rank, last);
    return finished.flatMap((item) => this.reportOf(rank, item));
  }

  /** Scales the sums up to account for steps whose reports were lost. */
  private reportOf(rank: number, open: OpenWindow): RankReport[] {
    const { windowSteps, minimumStepShare } = this.settings;
    if (open.steps.size < windowSteps * minimumStepShare) return [];
    const scale = windowSteps / open.steps.size;
    return [
      {
        rank,
        window: open.window,
        mapVersion: open.map.version,
        tokens: open.tokens.map((tokens) => tokens * scale),
        busySeconds: open.busySeconds * scale,
        requestTokens: open.requestTokens * scale,
      },
    ];
  }
}

function addCounts(
  { map, tokens }: OpenWindow,
  rank: number,
  counts: RankStep["counts"],
): void {
  const { shape } = map;
  const { layers, slotsPerRank } = shape;
  for (let layer = 0; layer < layers; layer += 1) {
    const start = (layer * shape.ranks + rank) * slotsPerRank;
    const row = counts.at(layer) ?? [];
    for (let position = 0; position < slotsPerRank; position += 1) {
      const expert = map.slots[start + position];
      if (expert === EMPTY_SLOT) continue;
      const replicasOnRank = countReplicasOnRank(map, start, shape, expert);
      tokens[layer * slotsPerRank + position] +=
        (row[expert] ?? 0) / replicasOnRank;
    }
  }
}

/** Several slots of one rank may hold an expert; they share its tokens. */
function countReplicasOnRank(
  map: ExpertMap,
  start: number,
  { slotsPerRank }: GroupShape,
  expert: number,
): number {
  let replicasOnRank = 0;
  for (let position = 0; position < slotsPerRank; position += 1) {
    if (map.slots[start + position] === expert) replicasOnRank += 1;
  }
  return replicasOnRank;
}
