/**
 * Stores the map of a group in the platform's log. It is only needed when every
 * engine of the group has lost its map, so a switch doesn't wait for it.
 */
import * as z from "zod";
import {
  toFailure,
  type ApricotdeckError,
  type VersionedMap,
} from "../../internal.js";
import type { LogClient } from "../../platform/log-client.js";
import { pause } from "../background-task.js";
import { plainMap } from "./wire.js";

const CHECK_INTERVAL_MS = 1_000;
/** Well below the time for which the log retains records. */
const REAPPEND_INTERVAL_MS = 3_600_000;
/** The agent starts without a recorded map if the log is unavailable longer. */
const READ_TIMEOUT_MS = 5_000;
const PAGE_RECORDS = 200;

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

export class MapLog {
  private readonly stream: string;
  private recordedVersion = 0;
  private recordedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly log: LogClient,
    group: string,
  ) {
    this.stream = `expert-maps-${group}`;
  }

  static create(log: LogClient, group: string): MapLog {
    return new MapLog(log, group);
  }

  /**
   * The highest version recorded; undefined if none or the log is unavailable.
   */
  async read(): Promise<VersionedMap | undefined> {
    const signal = AbortSignal.timeout(READ_TIMEOUT_MS);
    let newest: VersionedMap | undefined;
    let from = 0;
    while (!signal.aborted) {
      try {
        const page = await this.log.read(this.stream, {
          from,
          limit: PAGE_RECORDS,
          signal,
        });
        for (const { data } of page.records) newest = newerMap(newest, data);
        const last = page.records.at(-1);
        if (last === undefined || last.offset + 1 >= page.nextOffset) break;
        from = last.offset + 1;
      } catch (thrown) {
        from = trimmedStart(toFailure(thrown, 1901)) ?? from;
        await pause(CHECK_INTERVAL_MS / 10, signal);
      }
    }
    this.recordedVersion = newest?.version ?? 0;
    return newest;
  }

  /**
   * Appends newer versions at once and the current one again before it expires.
   */
  async appendUntilAborted(
    current: () => VersionedMap | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const map = current();
      const isReappendDue =
        Date.now() >= this.recordedAtMs + REAPPEND_INTERVAL_MS;
      if (
        map !== undefined &&
        (map.version > this.recordedVersion || isReappendDue)
      ) {
        await this.append(map);
      }
      await pause(CHECK_INTERVAL_MS, signal);
    }
  }

  private async append({ version, map }: VersionedMap): Promise<void> {
    const text = JSON.stringify({ version, map: plainMap(map) });
    try {
      await this.log.append(this.stream, [Buffer.from(text)]);
      this.recordedVersion = version;
      this.recordedAtMs = Date.now();
    } catch {
      // Even if the append took effect, the next round repeats it; a duplicate
      // record does no harm.
    }
  }
}

function newerMap(
  newest: VersionedMap | undefined,
  data: Buffer,
): VersionedMap | undefined {
  const result = recordSchema.safeParse(parseJson(data));
  if (!result.success) return newest;
  return result.data.version > (newest?.version ?? 0) ? result.data : newest;
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
