/**
 * Decides which requests are withheld because they crash backend servers.
 *
 * Whatever runs at a server when it crashes is a suspect. The guilty one tells
 * itself by crashing the next server as well; an innocent one by coming to its
 * end. Runs that overlap count once: when many servers fail at the same moment,
 * a request that is often sent runs at several of them.
 */
import type { Now } from "../internal.js";
import {
  NO_CONVICTION,
  convictionOf,
  explainsBetter,
  successiveRuns,
  type Conviction,
} from "./conviction.js";
import type {
  Acquittal,
  CrashedRun,
  SuspectRecord,
  Suspicion,
} from "./types.js";

/**
 * One crash has many suspects, nearly all of them innocent, and each is lost to
 * its caller if it isn't run again. Hardly any is there at a second crash.
 */
export const CRASHES_UNTIL_WITHHELD = 2;
/**
 * The same while this entry is alone, for a request that came to its end here before,
 * or beside one that explains the crashes better. An end elsewhere, which would clear
 * it, isn't heard of then, and others go on to run what this entry withholds.
 */
export const CRASHES_UNTIL_CERTAIN = 3;
/** Requests remembered for having come to their end, the newest. */
const MOST_ENDED = 2000;
/** A suspect of one crash is forgotten after this time, ms. */
export const SUSPECT_KEPT_MS = 60_000;
/** A withheld request is, ms; what is wrong with it takes a release to mend. */
export const WITHHELD_MS = 3_600_000;
/** A crash is heard of by then, unless its entry or this one was cut off, ms. */
const HEARD_WITHIN_MS = 5000;
/** Crashes that several entries see differ by less than this, ms. */
const SAME_CRASH_MS = 1000;
/** Requests kept at once; beyond them the one seen longest ago is forgotten. */
export const MOST_SUSPECTS = 1000;
/** Newest suspicions and acquittals that an entry tells the others. */
export const MOST_TOLD = 64;

/** Whose record it is: this entry's, one found at the start, or a new one. */
export type RecordSource = "own" | "start" | "live";

interface KnownRun extends CrashedRun {
  /** Seen by this entry, which tells the others. */
  readonly isOwn: boolean;
}

interface Suspect {
  readonly runs: readonly KnownRun[];
  readonly acquittedAtMs: number;
  readonly isOwnAcquittal: boolean;
}

const UNKNOWN: Suspect = {
  runs: [],
  acquittedAtMs: Number.NEGATIVE_INFINITY,
  isOwnAcquittal: false,
};

export class SuspectRequests {
  /** By digest, the one that changed last at the end. */
  private readonly suspects = new Map<string, Suspect>();
  /** Digests of requests that came to their end here, the newest last. */
  private readonly ended = new Set<string>();
  private isAlone = false;

  private constructor(private readonly now: Now) {}

  /** `now`: Unix ms. */
  static create(now: Now): SuspectRequests {
    return new SuspectRequests(now);
  }

  get size(): number {
    return this.suspects.size;
  }

  isSuspect(digest: string): boolean {
    return this.crashesOf(digest) > 0;
  }

  isWithheld(digest: string): boolean {
    const crashes = this.crashesOf(digest);
    if (crashes < CRASHES_UNTIL_WITHHELD) return false;
    const isCertain = !this.isAlone || crashes >= CRASHES_UNTIL_CERTAIN;
    return isCertain || !(this.ended.has(digest) || this.isExplained(digest));
  }

  /** Whether this entry can't tell the others what it sees, nor hear of it. */
  setAlone(isAlone: boolean): void {
    this.isAlone = isAlone;
  }

  /** Servers that the request has crashed, one after the other. */
  crashesOf(digest: string): number {
    const suspect = this.suspects.get(digest);
    if (suspect === undefined) return 0;
    const crashes = successiveRuns(suspect).length;
    const lostAtMs = suspect.runs.map((run) => run.lostAtMs);
    const lastMs = Math.max(suspect.acquittedAtMs, ...lostAtMs);
    if (this.now() - lastMs < keptMsOf(suspect, crashes)) return crashes;
    this.suspects.delete(digest);
    return 0;
  }

  /** This entry has lost a run of the request to a crash. */
  noteCrash(digest: string, run: CrashedRun): void {
    this.addRun(digest, { ...run, isOwn: true });
  }

  /** It came to its end. False where that changes nothing. */
  acquit(digest: string): boolean {
    this.noteEnd(digest);
    if (!this.isSuspect(digest)) return false;
    this.addAcquittal({ digest, atMs: this.now() }, true);
    return true;
  }

  /**
   * What another entry has seen, or this one before it started again. Of a crash
   * that is heard of late nobody here knew meanwhile, so that no end of the request
   * was told to the others: taken in, it would make guilty who was never asked. An
   * entry that has just started takes all, since the others did know.
   */
  take({ suspicions, acquittals }: SuspectRecord, source: RecordSource): void {
    const isOwn = source === "own";
    const heardWithinMs = source === "live" ? HEARD_WITHIN_MS : WITHHELD_MS;
    const sinceMs = this.now() - heardWithinMs;
    for (const { digest, runs } of suspicions) {
      for (const run of runs.map((one) => this.dated(one))) {
        if (run.lostAtMs >= sinceMs) this.addRun(digest, { ...run, isOwn });
      }
    }
    for (const { digest, atMs } of acquittals) {
      const seenAtMs = Math.min(atMs, this.now());
      this.addAcquittal({ digest, atMs: seenAtMs }, isOwn);
    }
  }

  /** What this entry tells the others. */
  record(): SuspectRecord {
    const suspicions: Suspicion[] = [];
    const acquittals: Acquittal[] = [];
    for (const [digest, suspect] of this.suspects) {
      const runs = suspect.runs.filter(({ isOwn }) => isOwn).map(withoutOwner);
      if (runs.length > 0) suspicions.push({ digest, runs });
      const { isOwnAcquittal, acquittedAtMs: atMs } = suspect;
      if (isOwnAcquittal) acquittals.push({ digest, atMs });
    }
    return {
      suspicions: suspicions.slice(-MOST_TOLD),
      acquittals: acquittals.slice(-MOST_TOLD),
    };
  }

  /** Another request explains the crashes better. */
  private isExplained(digest: string): boolean {
    const found = this.conviction(digest);
    return [...this.suspects.keys()].some((other) =>
      explainsBetter(this.conviction(other), found),
    );
  }

  /** Infinite where the request isn't found to crash servers. */
  private conviction(digest: string): Conviction {
    if (this.crashesOf(digest) < CRASHES_UNTIL_WITHHELD) return NO_CONVICTION;
    const known = this.suspects.get(digest) ?? UNKNOWN;
    return convictionOf(known, CRASHES_UNTIL_WITHHELD);
  }

  private noteEnd(digest: string): void {
    this.ended.delete(digest);
    this.ended.add(digest);
    if (this.ended.size <= MOST_ENDED) return;
    const [oldest] = this.ended;
    this.ended.delete(oldest);
  }

  /** A clock that is ahead must not keep a request withheld for longer. */
  private dated(run: CrashedRun): CrashedRun {
    const lostAtMs = Math.min(run.lostAtMs, this.now());
    return { ...run, lostAtMs, sentAtMs: Math.min(run.sentAtMs, lostAtMs) };
  }

  private addRun(digest: string, run: KnownRun): void {
    const known = this.suspects.get(digest) ?? UNKNOWN;
    if (known.runs.some((one) => isSameRun(one, run))) return;
    if (this.now() - run.lostAtMs >= WITHHELD_MS) return;
    const runs = [...known.runs, run].slice(-MOST_TOLD);
    this.keep(digest, { ...known, runs });
  }

  /** Also one whose crash isn't known here yet: records come in any order. */
  private addAcquittal({ digest, atMs }: Acquittal, isOwn: boolean): void {
    const known = this.suspects.get(digest) ?? UNKNOWN;
    if (known.acquittedAtMs >= atMs) return;
    if (this.now() - atMs >= WITHHELD_MS) return;
    this.keep(digest, { ...known, acquittedAtMs: atMs, isOwnAcquittal: isOwn });
  }

  private keep(digest: string, suspect: Suspect): void {
    this.suspects.delete(digest);
    this.suspects.set(digest, suspect);
    if (this.suspects.size <= MOST_SUSPECTS) return;
    const oldest = [...this.suspects.keys()].find(
      (one) => !this.isWithheld(one),
    );
    this.suspects.delete(oldest ?? digest);
  }
}

/**
 * An acquittal stays as long as the runs that it is about may be read from the
 * record of an entry that hasn't written since.
 */
function keptMsOf({ acquittedAtMs }: Suspect, crashes: number): number {
  const isAcquitted = Number.isFinite(acquittedAtMs);
  const isWithheld = crashes >= CRASHES_UNTIL_WITHHELD;
  return isAcquitted || isWithheld ? WITHHELD_MS : SUSPECT_KEPT_MS;
}

function isSameRun(one: CrashedRun, other: CrashedRun): boolean {
  const apartMs = Math.abs(one.lostAtMs - other.lostAtMs);
  return one.runner === other.runner && apartMs < SAME_CRASH_MS;
}

function withoutOwner({ runner, sentAtMs, lostAtMs }: KnownRun): CrashedRun {
  return { runner, sentAtMs, lostAtMs };
}
