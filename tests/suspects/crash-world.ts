/**
 * Groups of ranks behind several entries, in virtual time: one request crashes
 * each rank that begins to run it and comes again at any entry, among many that
 * harm nobody; ranks crash of other causes beside it.
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
import { CrashWatch } from "../../src/suspects/crash-watch.js";
import { SuspectNotes } from "../../src/suspects/suspect-notes.js";
import { SuspectRequests } from "../../src/suspects/suspect-requests.js";

export interface CrashWorldOptions {
  readonly seed: number;
  /** How many of the request that crashes come at the same moment. */
  readonly copies: number;
  /** The store can't be written or read until then, ms. */
  readonly storeAwayUntilMs: number;
  /** All entries start again then, ms. */
  readonly entriesRestartAtMs: number | undefined;
}

/** What callers and backend servers got. */
export interface CrashOutcome {
  /** Ranks that the request crashed. */
  readonly crashes: number;
  /** Runs of it that were begun later than the settling time after the third. */
  readonly lateRuns: number;
  readonly innocents: number;
  /** Innocent requests that were refused as suspects. */
  readonly innocentsWithheld: number;
}

const ENTRIES = 6;
const GROUPS = 3;
const RANKS = 16;
const LENGTH_MS = 60_000;
const STEP_MS = 50;
const SETTLING_MS = 3000;
/** A crashed rank is back, and its group formed anew, after this time. */
const DOWN_MS = 3000;
const STORE_DELAY_MS = 20;
const GUILTY = "guilty";
const GUILTY_EVERY_MS = 400;
const INNOCENTS_EACH_STEP = 10;
/** Different requests among the innocents: the popular ones come often. */
const INNOCENT_KINDS = 200;
const LONGEST_RUN_MS = 2000;
/** Share of steps in which a rank crashes of another cause. */
const OTHER_CRASHES = 0.01;

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
  readonly watch: CrashWatch;
  readonly notes: SuspectNotes;
  isOver: boolean;
}

export class CrashWorld {
  private readonly time = VirtualTime.create(1_790_000_000_000);
  private readonly startMs = this.time.nowMs;
  private readonly random: Random;
  private readonly ranks: readonly Rank[];
  private entries: readonly Entry[];
  private runs: Run[] = [];
  /** Newest record of each entry. */
  private readonly records = new Map<string, KeyedRecord>();
  private readonly crashTimes: number[] = [];
  private lateRuns = 0;
  private innocents = 0;
  private innocentsWithheld = 0;

  private constructor(private readonly options: CrashWorldOptions) {
    this.random = createRandom(options.seed);
    this.ranks = Array.from({ length: GROUPS * RANKS }, (_, at) => ({
      id: `r${at}`,
      group: Math.floor(at / RANKS),
      downUntilMs: 0,
    }));
    this.entries = this.startEntries();
  }

  static create(options: CrashWorldOptions): CrashWorld {
    return new CrashWorld(options);
  }

  async play(): Promise<CrashOutcome> {
    const { entriesRestartAtMs, copies } = this.options;
    for (let passedMs = 0; passedMs < LENGTH_MS; passedMs += STEP_MS) {
      if (passedMs === entriesRestartAtMs) this.restartEntries();
      for (let count = 0; count < INNOCENTS_EACH_STEP; count += 1) {
        // The lower its number, the more often a request comes.
        const kind = Math.floor(INNOCENT_KINDS * this.random() ** 3);
        this.callInnocent(`innocent-${kind}`);
      }
      if (passedMs % GUILTY_EVERY_MS === 0) {
        for (let copy = 0; copy < copies; copy += 1) this.callGuilty();
      }
      if (this.random() < OTHER_CRASHES) this.crash(this.anyRank());
      this.endRuns();
      this.time.advance(STEP_MS);
      await settle();
    }
    return {
      crashes: this.crashTimes.length,
      lateRuns: this.lateRuns,
      innocents: this.innocents,
      innocentsWithheld: this.innocentsWithheld,
    };
  }

  private callInnocent(digest: string): void {
    const entry = this.anyEntry();
    this.innocents += 1;
    if (entry.suspects.isWithheld(digest)) this.innocentsWithheld += 1;
    else this.begin(entry, digest);
  }

  private callGuilty(): void {
    const entry = this.anyEntry();
    if (entry.suspects.isWithheld(GUILTY)) return;
    const run = this.begin(entry, GUILTY);
    if (run === undefined) return;
    const thirdMs = this.crashTimes.at(2) ?? Number.POSITIVE_INFINITY;
    if (this.time.nowMs > thirdMs + SETTLING_MS) this.lateRuns += 1;
    this.crashTimes.push(this.time.nowMs);
    this.time.after(1, () => {
      this.crash(run.rank);
    });
  }

  /** Undefined while no rank takes it. */
  private begin(entry: Entry, digest: string): Run | undefined {
    const open = this.ranks.filter(({ group }) => this.isOpen(group));
    if (open.length === 0) return undefined;
    const rank = open[randomBelow(this.random, open.length)];
    const sentAtMs = this.time.nowMs;
    const endsAtMs = sentAtMs + this.random() * LONGEST_RUN_MS;
    const run = { entry, digest, rank, sentAtMs, endsAtMs };
    this.runs.push(run);
    return run;
  }

  private isOpen(group: number): boolean {
    return this.ranks
      .filter((rank) => rank.group === group)
      .every(({ downUntilMs }) => downUntilMs <= this.time.nowMs);
  }

  /** All streams of its group break; the port of this rank alone is closed. */
  private crash(rank: Rank): void {
    const nowMs = this.time.nowMs;
    if (rank.downUntilMs > nowMs) return;
    rank.downUntilMs = nowMs + DOWN_MS;
    const broken = this.runs.filter((run) => run.rank.group === rank.group);
    this.runs = this.runs.filter((run) => run.rank.group !== rank.group);
    for (const run of broken) {
      if (run.entry.isOver) continue;
      const { digest, sentAtMs } = run;
      const server = { id: run.rank.id, address: run.rank.id };
      void run.entry.watch.onLost(server, { digest, sentAtMs });
    }
  }

  private endRuns(): void {
    const nowMs = this.time.nowMs;
    const ended = this.runs.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    this.runs = this.runs.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { entry, digest } of ended) {
      if (entry.suspects.acquit(digest)) entry.notes.schedule();
    }
  }

  private startEntries(): readonly Entry[] {
    return Array.from({ length: ENTRIES }, (_, at) =>
      this.start(`entry-${at}`),
    );
  }

  private start(name: string): Entry {
    const now = (): number => this.time.nowMs;
    const suspects = SuspectRequests.create(now);
    const notes = SuspectNotes.create({
      name,
      suspects,
      notes: { put: (key, value) => this.put({ key, value }) },
      findings: RecordFindings.create({
        emit: ignoreEvents,
        measurements: ignoreMeasurements,
      }),
      after: (delayMs, action) => {
        this.time.after(delayMs, () => {
          if (!entry.isOver) action();
        });
      },
      emit: ignoreEvents,
    });
    const watch = CrashWatch.create({
      now,
      emit: ignoreEvents,
      suspects,
      portState: (address) => {
        const rank = this.ranks.find(({ id }) => id === address);
        const isDown = (rank?.downUntilMs ?? 0) > now();
        return Promise.resolve(isDown ? "closed" : "open");
      },
      onEvidence: () => {
        notes.schedule();
      },
    });
    const entry: Entry = { suspects, watch, notes, isOver: false };
    notes.take([...this.records.values()]);
    return entry;
  }

  /** They know what the store holds. */
  private restartEntries(): void {
    for (const entry of this.entries) entry.isOver = true;
    this.entries = this.startEntries();
  }

  private put(record: KeyedRecord): Promise<void> {
    const passedMs = this.time.nowMs - this.startMs;
    if (passedMs < this.options.storeAwayUntilMs) {
      return Promise.reject(failure(1901));
    }
    this.records.set(record.key, record);
    this.time.after(STORE_DELAY_MS, () => {
      for (const { notes } of this.entries) notes.take([record]);
    });
    return Promise.resolve();
  }

  private anyEntry(): Entry {
    return this.entries[randomBelow(this.random, ENTRIES)];
  }

  private anyRank(): Rank {
    return this.ranks[randomBelow(this.random, this.ranks.length)];
  }
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}
