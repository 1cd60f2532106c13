/**
 * `npm run measure -- configuration [--publications N]`: time from a
 * publication to its being in force at every process, and the log's reads,
 * against the number of processes in three data centres.
 */
import { parseArgs } from "node:util";
import { setTimeout as sleep } from "node:timers/promises";
import {
  startFollowerSite,
  until,
  type FollowerSite,
  type RunningFollower,
} from "../tests/configuration/follower-site.js";
import { publication, weighted } from "../tests/configuration/support.js";

const PROCESS_COUNTS = [6, 12, 24, 48, 96];
const DATA_CENTRES = ["caerdydd", "abertawe", "casnewydd"];
const SETTLE_MS = 6_000;
const QUIET_MS = 4_000;

interface Row {
  readonly processes: number;
  readonly publications: number;
  readonly medianMs: number;
  readonly longestMs: number;
  /** Processes that read the log itself. */
  readonly logReaders: number;
  /** Reads a second while nothing is published. */
  readonly quietReadsPerSecond: number;
  readonly readsPerPublication: number;
}

export async function measure(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: { publications: { type: "string", default: "20" } },
  });
  const rows: Row[] = [];
  for (const processes of PROCESS_COUNTS) {
    const row = await measureOne(processes, Number(values.publications));
    rows.push(row);
    console.log(JSON.stringify(row));
  }
  console.log(JSON.stringify({ measurement: "configuration", rows }));
}

async function measureOne(
  processes: number,
  publications: number,
): Promise<Row> {
  await using site = await startFollowerSite();
  const followers: RunningFollower[] = [];
  for (let index = 0; index < processes; index += 1) {
    const place = DATA_CENTRES[index % DATA_CENTRES.length];
    followers.push(await site.start(`process-${index}`, place));
  }
  site.list();
  await site.append(publication());
  await awaitVersion(followers, 0);
  await sleep(SETTLE_MS);
  const quietFrom = site.log.reads();
  await sleep(QUIET_MS);
  const quietReads = site.log.reads() - quietFrom;
  const busyFrom = site.log.reads();
  const times: number[] = [];
  for (let version = 1; version <= publications; version += 1) {
    times.push(await publishOnce(site, followers, version));
  }
  const sorted = times.toSorted((a, b) => a - b);
  const sources = followers.map(({ follower }) => follower.summary.source);
  return {
    processes,
    publications,
    medianMs: rounded(sorted[Math.floor(sorted.length / 2)]),
    longestMs: rounded(sorted.at(-1) ?? 0),
    logReaders: sources.filter((source) => source === "log").length,
    quietReadsPerSecond: rounded(quietReads / (QUIET_MS / 1000)),
    readsPerPublication: rounded((site.log.reads() - busyFrom) / publications),
  };
}

async function publishOnce(
  site: FollowerSite,
  followers: readonly RunningFollower[],
  version: number,
): Promise<number> {
  const startedAt = performance.now();
  await site.append(
    publication({
      basedOn: version - 1,
      nonce: `n${version}`,
      configuration: weighted((version % 100) / 100),
    }),
  );
  await awaitVersion(followers, version);
  return performance.now() - startedAt;
}

function awaitVersion(
  followers: readonly RunningFollower[],
  version: number,
): Promise<void> {
  return until(`version ${version}`, () =>
    followers.every(({ follower }) => follower.inForce?.version === version),
  );
}

function rounded(value: number): number {
  return Math.round(value * 10) / 10;
}
