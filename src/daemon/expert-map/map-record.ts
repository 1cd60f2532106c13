/**
 * The map of a group on the platform's log. Only a group of which every engine
 * has forgotten its map needs it; a switch doesn't wait for it.
 */
import { z } from "zod";
import {
  toFailure,
  type ApricotdeckError,
  type VersionedMap,
} from "../../internal.js";
import type { LogClient } from "../../platform/log-client.js";
import { pause } from "../background-task.js";
import { plainMap } from "./wire.js";

const CHECK_MS = 1_000;
/** The log keeps records for a limited time; this is well within it. */
const REPEAT_MS = 3_600_000;
/** Start without the record when the log is out for longer. */
const LONGEST_READ_MS = 5_000;
const PAGE = 200;

const recordSchema = z.object({
  version: z.number(),
  map: z.object({
    version: z.number(),
    shape: z.object({
      ranks: z.number(),
      layers: z.number(),
      experts: z.number(),
      slotsPerRank: z.number(),
    }),
    slots: z.array(z.number()),
  }),
});

export class MapRecord {
  private readonly stream: string;
  private recorded = 0;
  private recordedAt = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly log: LogClient,
    group: string,
  ) {
    this.stream = `expert-maps-${group}`;
  }

  static create(log: LogClient, group: string): MapRecord {
    return new MapRecord(log, group);
  }

  /** The highest version recorded, or undefined for none or an outage. */
  async read(): Promise<VersionedMap | undefined> {
    const signal = AbortSignal.timeout(LONGEST_READ_MS);
    let best: VersionedMap | undefined;
    let from = 0;
    while (!signal.aborted) {
      try {
        const page = await this.log.read(this.stream, {
          from,
          limit: PAGE,
          signal,
        });
        for (const { data } of page.records) best = newer(best, data);
        const last = page.records.at(-1);
        if (last === undefined || last.offset + 1 >= page.nextOffset) break;
        from = last.offset + 1;
      } catch (thrown) {
        from = trimmedStart(toFailure(thrown, 1901)) ?? from;
        await pause(CHECK_MS / 10, signal);
      }
    }
    this.recorded = best?.version ?? 0;
    return best;
  }

  /** Keeps the map that `current` gives on the log, until the signal aborts. */
  async keep(
    current: () => VersionedMap | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const map = current();
      const due = Date.now() >= this.recordedAt + REPEAT_MS;
      if (map !== undefined && (map.version > this.recorded || due)) {
        await this.append(map);
      }
      await pause(CHECK_MS, signal);
    }
  }

  private async append({ version, map }: VersionedMap): Promise<void> {
    const text = JSON.stringify({ version, map: plainMap(map) });
    try {
      await this.log.append(this.stream, [Buffer.from(text)]);
      this.recorded = version;
      this.recordedAt = Date.now();
    } catch {
      // Whether it landed doesn't matter: the next round appends it again, and
      // a record that is there twice says the same.
    }
  }
}

function newer(
  best: VersionedMap | undefined,
  data: Buffer,
): VersionedMap | undefined {
  const result = recordSchema.safeParse(parseJson(data));
  if (!result.success) return best;
  return result.data.version > (best?.version ?? 0) ? result.data : best;
}

function parseJson(data: Buffer): unknown {
  try {
    return JSON.parse(data.toString());
  } catch {
    return undefined;
  }
}

function trimmedStart({ detail }: ApricotdeckError): number | undefined {
  const { startOffset } = detail;
  return typeof startOffset === "number" ? startOffset : undefined;
}
