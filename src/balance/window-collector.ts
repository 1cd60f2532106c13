/**
 * Turns the step reports of one agent's ranks into one report a window. A
 * window is a range of step numbers, so that the windows of all ranks are the
 * same although no clock is shared.
 */
import {
  EMPTY_SLOT,
  type ExpertMap,
  type GroupShape,
  type RankReport,
} from "./types.js";

/** What one rank did in one step. */
export interface RankStep {
  readonly rank: number;
  readonly step: number;
  /** Version of the map that the step ran on. */
  readonly version: number;
  /** Time spent computing, without the wait for other ranks. */
  readonly durationMs: number;
  /** Tokens of each expert of each layer. */
  readonly counts: readonly (readonly number[])[];
}

export interface WindowSettings {
  readonly windowSteps: number;
  /** Reports that come so many steps after the window's end are missed. */
  readonly lateSteps: number;
  /** With a smaller share of its steps known, a window tells nothing. */
  readonly leastShare: number;
}

/**
 * 2,000 steps of five milliseconds are the ten seconds that the planner's
 * constants are made for. Reports come up to half a second late.
 */
export const DEFAULT_WINDOWS: WindowSettings = {
  windowSteps: 2000,
  lateSteps: 100,
  leastShare: 0.25,
};

interface OpenWindow {
  readonly window: number;
  readonly map: ExpertMap;
  readonly tokens: Float64Array;
  /** Reports are asked for again after a lost answer: each counts once. */
  readonly steps: Set<number>;
  busySeconds: number;
  requestTokens: number;
}

export class WindowCollector {
  private readonly open = new Map<number, OpenWindow[]>();
  /** Last window given out, by rank: it must not come twice. */
  private readonly closed = new Map<number, number>();

  private constructor(private readonly settings: WindowSettings) {}

  static create(settings: WindowSettings = DEFAULT_WINDOWS): WindowCollector {
    return new WindowCollector(settings);
  }

  /**
   * Takes in a step; returns the windows of its rank that it brings to an end.
   * `map` is the map in force, `requestTokens` the work of the rank's own
   * requests since the step before.
   */
  add(
    step: RankStep,
    map: ExpertMap,
    requestTokens: number,
  ): readonly RankReport[] {
    // Counts under another map would be put down to the wrong slots.
    if (step.version !== map.version) return [];
    const window = Math.floor(step.step / this.settings.windowSteps);
    if (window <= (this.closed.get(step.rank) ?? -1)) return [];
    this.addTo(this.windowOf(step.rank, window, map), step, requestTokens);
    return this.closeBefore(step);
  }

  /** The group formed anew and counts its steps from the start. */
  reset(): void {
    this.open.clear();
    this.closed.clear();
  }

  private windowOf(rank: number, window: number, map: ExpertMap): OpenWindow {
    const windows = this.open.get(rank) ?? [];
    const known = windows.find(
      (item) => item.window === window && item.map.version === map.version,
    );
    if (known !== undefined) return known;
    const { layers, slotsPerRank } = map.shape;
    const created: OpenWindow = {
      window,
      map,
      tokens: new Float64Array(layers * slotsPerRank),
      steps: new Set(),
      busySeconds: 0,
      requestTokens: 0,
    };
    // A switch within a window begins it anew under the new map.
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

  private closeBefore({ rank, step }: RankStep): readonly RankReport[] {
    const { windowSteps, lateSteps } = this.settings;
    const windows = this.open.get(rank) ?? [];
    const isOver = ({ window }: OpenWindow): boolean =>
      step >= (window + 1) * windowSteps + lateSteps;
    const over = windows.filter(isOver);
    if (over.length === 0) return [];
    this.open.set(
      rank,
      windows.filter((item) => !isOver(item)),
    );
    const last = Math.max(...over.map(({ window }) => window));
    this.closed.set(rank, last);
    return over.flatMap((item) => this.reportOf(rank, item));
  }

  /** Steps whose reports were lost count like those that came. */
  private reportOf(rank: number, open: OpenWindow): RankReport[] {
    const { windowSteps, leastShare } = this.settings;
    if (open.steps.size < windowSteps * leastShare) return [];
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
      const copies = copiesOf(map, start, shape, expert);
      tokens[layer * slotsPerRank + position] += (row[expert] ?? 0) / copies;
    }
  }
}

/** An expert may stand in several slots of one rank, which share its tokens. */
function copiesOf(
  map: ExpertMap,
  start: number,
  { slotsPerRank }: GroupShape,
  expert: number,
): number {
  let copies = 0;
  for (let position = 0; position < slotsPerRank; position += 1) {
    if (map.slots[start + position] === expert) copies += 1;
  }
  return copies;
}
