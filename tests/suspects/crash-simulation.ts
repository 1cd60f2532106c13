/**
 * Simulates groups of ranks behind several entries in virtual time. One request
 * crashes each rank that runs it and is retried at any entry, among many
 * harmless ones; ranks also crash for other reasons.
 */
import { VirtualTime } from "../../fuzz/virtual-time.js";
import {
  createRandom,
  failure,
  ignoreEvents,
  ignoreMeasurements,
  randomBelow,
  type Random,
} from "../../src/internal.js";
import type { KeyedRecord } from "../../src/platform/keyed-topic.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { CrashDetector } from "../../src/suspects/crash-detector.js";
import { LostPromptRuns } from "../../src/suspects/lost-prompt-runs.js";
import { SuspectSync } from "../../src/suspects/suspect-sync.js";
import { SuspectRequests } from "../../src/suspects/suspect-requests.js";

export interface CrashSimulationOptions {
  readonly seed: number;
  /**
   * Number of copies of the crashing request that are sent at the same moment.
   */
  readonly copies: number;
  /** Until when the store can't be written, ms since the start. */
  readonly storeDownUntilMs: number;
  /** When all entries restart, ms since the start. */
  readonly entriesRestartAtMs: number | undefined;
}

/** Results for callers and backend servers. */
export interface CrashOutcome {
  /** Number of ranks that the request crashed. */
  readonly crashes: number;
  /**
   * Runs of the crashing request that started later than `SETTLING_MS` after
   * the third crash.
   */
  readonly lateRuns: number;
  readonly harmlessRequests: number;
  /** Harmless requests that were refused as suspects. */
  readonly harmlessWithheld: number;
}

const ENTRIES = 6;
const GROUPS = 3;
const RANKS_PER_GROUP = 16;
const DURATION_MS = 60_000;
const STEP_MS = 50;
const SETTLING_MS = 3000;
/** Time until a crashed rank is back and its group has formed again, ms. */
const DOWN_MS = 3000;
const STORE_DELAY_MS = 20;
const CRASHING = "crashing";
const CRASHING_INTERVAL_MS = 400;
const HARMLESS_PER_STEP = 10;
/** Number of different harmless requests; the popular ones are sent often. */
const HARMLESS_KINDS = 200;
const MAXIMUM_RUN_MS = 2000;
/** Probability per step that a rank crashes for another reason. */
const OTHER_CRASH_PROBABILITY = 0.01;

interface Rank {
  readonly id: string;
  readonly group: number;
  downUntilMs: number;
}

interface Run {
  readonly entry: Entry;
  readonly digest: string;
  readonly rank: Rank;
  readonly sentAtMs: number;
  readonly endsAtMs: number;
}

interface Entry {
  readonly suspects: SuspectRequests;
  readonly detector: CrashDetector;
  readonly sync: SuspectSync;
  isStopped: boolean;
}

export class CrashSimulation {
  private readonly time = VirtualTime.create(1_790_000_000_000);
  private readonly startMs = this.time.nowMs;
  private readonly random: Random;
  private readonly ranks: readonly Rank[];
  private entries: readonly Entry[];
  private runs: Run[] = [];
  /** Latest record of each entry. */
  private readonly records = new Map<string, KeyedRecord>();
  private readonly crashTimes: number[] = [];
  private lateRuns = 0;
  private harmlessRequests = 0;
  private harmlessWithheld = 0;

  private constructor(private readonly options: CrashSimulationOptions) {
    this.random = createRandom(options.seed);
    this.ranks = Array.from({ length: GROUPS * RANKS_PER_GROUP }, (_, at) => ({
      id: `r${at}`,
      group: Math.floor(at / RANKS_PER_GROUP),
      downUntilMs: 0,
    }));
    this.entries = this.startEntries();
  }

  static create(options: CrashSimulationOptions): CrashSimulation {
    return new CrashSimulation(options);
  }

  async run(): Promise<CrashOutcome> {
    const { entriesRestartAtMs, copies } = this.options;
    for (let passedMs = 0; passedMs < DURATION_MS; passedMs += STEP_MS) {
      if (passedMs === entriesRestartAtMs) this.restartEntries();
      for (let count = 0; count < HARMLESS_PER_STEP; count += 1) {
        // Requests with lower numbers are sent more often.
        const kind = Math.floor(HARMLESS_KINDS * this.random() ** 3);
        this.callHarmless(`harmless-${kind}`);
      }
      if (passedMs % CRASHING_INTERVAL_MS === 0) {
        for (let copy = 0; copy < copies; copy += 1) this.callCrashing();
      }
      if (this.random() < OTHER_CRASH_PROBABILITY)
        this.crash(this.randomRank());
      this.endRuns();
      this.time.advance(STEP_MS);
      await flushPromises();
    }
    return {
      crashes: this.crashTimes.length,
      lateRuns: this.lateRuns,
      harmlessRequests: this.harmlessRequests,
      harmlessWithheld: this.harmlessWithheld,
    };
  }

  private callHarmless(digest: string): void {
    const entry = this.randomEntry();
    this.harmlessRequests += 1;
    if (entry.suspects.isWithheld(digest)) this.harmlessWithheld += 1;
    else this.startRun(entry, digest);
  }

  private callCrashing(): void {
    const entry = this.randomEntry();
    if (entry.suspects.isWithheld(CRASHING)) return;
    const run = this.startRun(entry, CRASHING);
    if (run === undefined) return;
    const thirdMs = this.crashTimes.at(2) ?? Number.POSITIVE_INFINITY;
    if (this.time.nowMs > thirdMs + SETTLING_MS) this.lateRuns += 1;
    this.crashTimes.push(this.time.nowMs);
    this.time.schedule(1, () => {
      this.crash(run.rank);
    });
  }

  /** Undefined if no group is available. */
  private startRun(entry: Entry, digest: string): Run | undefined {
    const open = this.ranks.filter(({ group }) => this.isOpen(group));
    if (open.length === 0) return undefined;
    const rank = open[randomBelow(this.random, open.length)];
    const sentAtMs = this.time.nowMs;
    const endsAtMs = sentAtMs + this.random() * MAXIMUM_RUN_MS;
    const run = { entry, digest, rank, sentAtMs, endsAtMs };
    this.runs.push(run);
    return run;
  }

  private isOpen(group: number): boolean {
    return this.ranks
      .filter((rank) => rank.group === group)
      .every(({ downUntilMs }) => downUntilMs <= this.time.nowMs);
  }

  /**
   * All streams of the group break; only the port of the crashed rank is
   * closed.
   */
  private crash(rank: Rank): void {
    const nowMs = this.time.nowMs;
    if (rank.downUntilMs > nowMs) return;
    rank.downUntilMs = nowMs + DOWN_MS;
    const lostRuns = this.runs.filter((run) => run.rank.group === rank.group);
    this.runs = this.runs.filter((run) => run.rank.group !== rank.group);
    for (const run of lostRuns) {
      if (run.entry.isStopped) continue;
      const { digest, sentAtMs } = run;
      const server = { id: run.rank.id, address: run.rank.id };
      void run.entry.detector.onLost(server, { digest, parts: [], sentAtMs });
    }
  }

  private endRuns(): void {
    const nowMs = this.time.nowMs;
    const ended = this.runs.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    this.runs = this.runs.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { entry, digest } of ended) {
      if (entry.suspects.acquit(digest)) entry.sync.schedulePublish();
    }
  }

  private startEntries(): readonly Entry[] {
    return Array.from({ length: ENTRIES }, (_, at) =>
      this.startEntry(`entry-${at}`),
    );
  }

  private startEntry(name: string): Entry {
    const now = (): number => this.time.nowMs;
    const suspects = SuspectRequests.create(now);
    const sync = SuspectSync.create({
      name,
      suspects,
      notes: { put: (key, value) => this.put({ key, value }) },
      findings: RecordFindings.create({
        emit: ignoreEvents,
        measurements: ignoreMeasurements,
      }),
      after: (delayMs, action) => {
        this.time.schedule(delayMs, () => {
          if (!entry.isStopped) action();
        });
      },
      emit: ignoreEvents,
    });
    const detector = CrashDetector.create({
      now,
      emit: ignoreEvents,
      suspects,
      promptRuns: LostPromptRuns.create(now),
      portState: (address) => {
        const rank = this.ranks.find(({ id }) => id === address);
        const isDown = (rank?.downUntilMs ?? 0) > now();
        return Promise.resolve(isDown ? "closed" : "open");
      },
      onEvidence: () => {
        sync.schedulePublish();
      },
    });
    const entry: Entry = {
      suspects,
      detector,
      sync,
      isStopped: false,
    };
    sync.apply([...this.records.values()]);
    return entry;
  }

  /** Restarted entries read the records in the store. */
  private restartEntries(): void {
    for (const entry of this.entries) entry.isStopped = true;
    this.entries = this.startEntries();
  }

  private put(record: KeyedRecord): Promise<void> {
    const passedMs = this.time.nowMs - this.startMs;
    if (passedMs < this.options.storeDownUntilMs) {
      return Promise.reject(failure(1901));
    }
    this.records.set(record.key, record);
    this.time.schedule(STORE_DELAY_MS, () => {
      for (const { sync } of this.entries) sync.apply([record]);
    });
    return Promise.resolve();
  }

  private randomEntry(): Entry {
    return this.entries[randomBelow(this.random, ENTRIES)];
  }

  private randomRank(): Rank {
    return this.ranks[randomBelow(this.random, this.ranks.length)];
  }
}

async function flushPromises(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}
