/**
 * `npm run measure -- configuration [--publications N]`: time from a
 * publication until every process has applied it, and reads of the log, by the
 * number of processes in three data centres.
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
const IDLE_MS = 4_000;

interface ConfigurationRow {
  readonly processes: number;
  readonly publications: number;
  readonly medianMs: number;
  readonly longestMs: number;
  /** Processes that read the log directly, not through another process. */
  readonly logReaders: number;
  /** Log reads while nothing is published. */
  readonly quietReadsPerSecond: number;
  readonly readsPerPublication: number;
}

export async function measureConfiguration(
  args: readonly string[],
): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: { publications: { type: "string", default: "20" } },
  });
  const rows: ConfigurationRow[] = [];
  for (const processes of PROCESS_COUNTS) {
    const row = await measureCase(processes, Number(values.publications));
    rows.push(row);
    console.log(JSON.stringify(row));
  }
  console.log(JSON.stringify({ measurement: "configuration", rows }));
}

async function measureCase(
  processes: number,
  publications: number,
): Promise<ConfigurationRow> {
  await using site = await startFollowerSite();
  const followers: RunningFollower[] = [];
  for (let index = 0; index < processes; index += 1) {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length];
    followers.push(await site.start(`process-${index}`, dataCentre));
  }
  site.list();
  await site.append(publication());
  await awaitVersion(followers, 0);
  await sleep(SETTLE_MS);
  const readsBeforeIdle = site.log.reads();
  await sleep(IDLE_MS);
  const idleReads = site.log.reads() - readsBeforeIdle;
  const readsBeforePublications = site.log.reads();
  const durationsMs: number[] = [];
  for (let version = 1; version <= publications; version += 1) {
    durationsMs.push(await publishOnce(site, followers, version));
  }
  const sorted = durationsMs.toSorted((a, b) => a - b);
  const sources = followers.map(({ follower }) => follower.summary.source);
  return {
    processes,
    publications,
    medianMs: roundToTenth(sorted[Math.floor(sorted.length / 2)]),
    longestMs: roundToTenth(sorted.at(-1) ?? 0),
    logReaders: sources.filter((source) => source === "log").length,
    quietReadsPerSecond: roundToTenth(idleReads / (IDLE_MS / 1000)),
    readsPerPublication: roundToTenth(
      (site.log.reads() - readsBeforePublications) / publications,
    ),
  };
}

async function publishOnce(
  site: FollowerSite,
  followers: readonly RunningFollower[],
  version: number,
): Promise<number> {
  const startedAtMs = performance.now();
  await site.append(
    publication({
      basedOn: version - 1,
      nonce: `n${version}`,
      configuration: weighted((version % 100) / 100),
    }),
  );
  await awaitVersion(followers, version);
  return performance.now() - startedAtMs;
}

function awaitVersion(
  followers: readonly RunningFollower[],
  version: number,
): Promise<void> {
  return until(`version ${version}`, () =>
    followers.every(({ follower }) => follower.inForce?.version === version),
  );
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
