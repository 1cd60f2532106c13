/**
 * Decides which requests are withheld because they crash backend servers.
 *
 * Every request that runs on a server when it crashes is a suspect. The cause
 * is recognized when it crashes the next server as well, a harmless request
 * when it completes. Overlapping runs count once: when many servers fail at the
 * same moment, a request that is sent often runs on several of them.
 */
import type { Now } from "../internal.js";
import {
  CRASHES_IF_ONCE_HARMLESS,
  NO_EVIDENCE,
  aheadMsOf,
  crashEvidenceOf,
  isSameCrash,
  isSameTime,
  isStrongerEvidence,
  movedBack,
  successiveRuns,
  type CrashEvidence,
  type LostRunHistory,
} from "./crash-evidence.js";
import { setNewest } from "./newest-entries.js";
import type {
  Acquittal,
  CrashedRun,
  SuspectRecord,
  Suspicion,
} from "./types.js";

/**
 * Number of crashes after which a request is withheld. One crash has many
 * suspects, nearly all of them harmless, and each fails for its caller unless
 * it is run again. Hardly any of them is present at a second crash.
 */
export const CRASHES_UNTIL_WITHHELD = 2;
/**
 * The same while this entry is isolated, for a request that has completed here
 * before or that is less likely the cause than another suspect. An isolated
 * entry doesn't learn that a request completed elsewhere, which would clear it,
 * and other entries still run what it withholds.
 */
export const CRASHES_UNTIL_WITHHELD_ISOLATED = 3;
/** Only the newest completed requests are remembered. */
const MAXIMUM_COMPLETED_REQUESTS = 2000;
/** How long a suspect of one crash is remembered, ms. */
export const SUSPECT_RETENTION_MS = 60_000;
/** How long a request is withheld, ms; fixing its cause takes a release. */
export const WITHHOLD_DURATION_MS = 3_600_000;
/**
 * Reports of crashes arrive within this time unless the reporting entry or this
 * one was isolated, ms.
 */
const MAXIMUM_REPORT_AGE_MS = 5000;
/**
 * Beyond this number, the suspect that changed longest ago and isn't withheld
 * is dropped.
 */
export const MAXIMUM_SUSPECTS = 1000;
/**
 * Maximum length of each list in the record that an entry publishes:
 * suspicions, acquittals and the runs of one request. The newest are kept.
 */
export const MAXIMUM_RECORD_ITEMS = 64;

/** Only the servers that crashed last are remembered. */
const MAXIMUM_CRASHED_SERVERS = 1000;

/**
 * Origin of a record. "own": this entry. "start": another entry, read when this
 * one started. "live": another entry, read later.
 */
export type RecordSource = "own" | "start" | "live";

/** What is known beside the runs and completions of a request itself. */
export interface RequestKnowledge {
  /** Whether the run was lost because of another request. */
  readonly isExplained: (run: CrashedRun) => boolean;
  /**
   * When a run of the request last survived, at any entry, Unix ms; negative
   * infinity if none has.
   */
  readonly harmlessAt: (digest: string) => number;
  readonly canBeCause: CanBeCause;
}

/**
 * Whether a request that ran on `own` of `all` servers that crashed at about the
 * same time can be their cause.
 */
export type CanBeCause = (own: number, all: number) => boolean;

const NO_KNOWLEDGE: RequestKnowledge = {
  isExplained: () => false,
  harmlessAt: () => Number.NEGATIVE_INFINITY,
  canBeCause: () => true,
};

interface KnownRun extends CrashedRun {
  /** Seen by this entry, which publishes it. */
  readonly isOwn: boolean;
}

interface Suspect {
  readonly runs: readonly KnownRun[];
  readonly acquittedAtMs: number;
  readonly isOwnAcquittal: boolean;
}

const UNKNOWN_SUSPECT: Suspect = {
  runs: [],
  acquittedAtMs: Number.NEGATIVE_INFINITY,
  isOwnAcquittal: false,
};

export class SuspectRequests {
  /** By digest, in order of the last change. */
  private readonly suspects = new Map<string, Suspect>();
  /** Digests of requests that completed here, oldest first. */
  private readonly completed = new Set<string>();
  /** By id of the server, the one that crashed longest ago first, Unix ms. */
  private readonly lastCrashAtMs = new Map<string, number>();
  private isIsolated = false;

  private constructor(
    private readonly now: Now,
    private readonly knowledge: RequestKnowledge,
  ) {}

  /** `now`: Unix ms. */
  static create(
    now: Now,
    knowledge: RequestKnowledge = NO_KNOWLEDGE,
  ): SuspectRequests {
    return new SuspectRequests(now, knowledge);
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
    if (Number.isFinite(this.knowledge.harmlessAt(digest)))
      return crashes >= CRASHES_IF_ONCE_HARMLESS;
    if (!this.isIsolated || crashes >= CRASHES_UNTIL_WITHHELD_ISOLATED)
      return true;
    return !(this.completed.has(digest) || this.isUnlikely(digest));
  }

  /**
   * Sets whether this entry can neither publish its observations nor receive
   * others.
   */
  setIsolated(isIsolated: boolean): void {
    this.isIsolated = isIsolated;
  }

  /** Number of successive crashes that the request was lost in. */
  crashesOf(digest: string): number {
    const suspect = this.suspects.get(digest);
    if (suspect === undefined) return 0;
    const crashes = successiveRuns(this.convincing(digest, suspect)).length;
    const lostAtMs = suspect.runs.map((run) => run.lostAtMs);
    const lastMs = Math.max(suspect.acquittedAtMs, ...lostAtMs);
    if (this.now() - lastMs < retentionMsOf(suspect, crashes)) return crashes;
    this.suspects.delete(digest);
    return 0;
  }

  /** This entry has lost a run of the request in a crash. */
  addOwnRun(digest: string, run: CrashedRun): void {
    this.addRun(digest, { ...run, isOwn: true });
  }

  /** The request completed. Returns false if that changes nothing. */
  acquit(digest: string): boolean {
    this.addCompletion(digest);
    if (!this.isSuspect(digest)) return false;
    this.addAcquittal({ digest, atMs: this.now() }, true);
    return true;
  }

  /**
   * Merges the observations of another entry, or of this one before a restart.
   * A crash that is reported late wasn't known here in the meantime, so
   * completions of the request weren't published as acquittals; merging it
   * would withhold a request that may have completed since. An entry that has
   * just started merges everything, since the others knew of the crash.
   */
  merge({ suspicions, acquittals }: SuspectRecord, source: RecordSource): void {
    const isOwn = source === "own";
    const maximumAgeMs =
      source === "live" ? MAXIMUM_REPORT_AGE_MS : WITHHOLD_DURATION_MS;
    const sinceMs = this.now() - maximumAgeMs;
    const allRuns = suspicions.flatMap(({ runs }) => runs);
    const aheadMs = aheadMsOf(allRuns, this.now());
    for (const { digest, runs } of suspicions) {
      for (const run of runs.map((one) => movedBack(one, aheadMs))) {
        if (run.lostAtMs >= sinceMs) this.addRun(digest, { ...run, isOwn });
      }
    }
    for (const { digest, atMs } of acquittals) {
      const seenAtMs = Math.min(atMs, this.now());
      this.addAcquittal({ digest, atMs: seenAtMs }, isOwn);
    }
  }

  /** What this entry publishes. */
  ownRecord(): SuspectRecord {
    const suspicions: Suspicion[] = [];
    const acquittals: Acquittal[] = [];
    for (const [digest, suspect] of this.suspects) {
      const runs = suspect.runs.filter(({ isOwn }) => isOwn).map(toCrashedRun);
      if (runs.length > 0) suspicions.push({ digest, runs });
      const { isOwnAcquittal, acquittedAtMs: atMs } = suspect;
      if (isOwnAcquittal) acquittals.push({ digest, atMs });
    }
    return {
      suspicions: suspicions.slice(-MAXIMUM_RECORD_ITEMS),
      acquittals: acquittals.slice(-MAXIMUM_RECORD_ITEMS),
    };
  }

  /** Whether another request is more likely the cause of the crashes. */
  private isUnlikely(digest: string): boolean {
    const own = this.evidence(digest);
    return [...this.suspects.keys()].some((other) =>
      isStrongerEvidence(this.evidence(other), own),
    );
  }

  /** `NO_EVIDENCE` if the request has had too few crashes to be withheld. */
  private evidence(digest: string): CrashEvidence {
    if (this.crashesOf(digest) < CRASHES_UNTIL_WITHHELD) return NO_EVIDENCE;
    const known = this.suspects.get(digest) ?? UNKNOWN_SUSPECT;
    return crashEvidenceOf(
      this.convincing(digest, known),
      CRASHES_UNTIL_WITHHELD,
    );
  }

  private convincing(
    digest: string,
    { runs, acquittedAtMs }: Suspect,
  ): LostRunHistory {
    const { isExplained, canBeCause } = this.knowledge;
    const isConvincing = (run: CrashedRun): boolean => {
      if (isExplained(run)) return false;
      const around = runs.filter((one) =>
        isSameTime(one.lostAtMs, run.lostAtMs),
      );
      const own = new Set(around.map(({ runner }) => runner)).size;
      return canBeCause(own, this.crashesAround(run.lostAtMs));
    };
    const harmlessAtMs = this.knowledge.harmlessAt(digest);
    return {
      runs: runs.filter(isConvincing),
      acquittedAtMs: Math.max(acquittedAtMs, harmlessAtMs),
    };
  }

  /** Number of servers known to have crashed at about this time, Unix ms. */
  private crashesAround(atMs: number): number {
    let crashes = 0;
    for (const lostAtMs of this.lastCrashAtMs.values()) {
      if (isSameTime(lostAtMs, atMs)) crashes += 1;
    }
    return crashes;
  }

  private addCrash({ runner, lostAtMs }: CrashedRun): void {
    setNewest(this.lastCrashAtMs, runner, lostAtMs, MAXIMUM_CRASHED_SERVERS);
  }

  private addCompletion(digest: string): void {
    this.completed.delete(digest);
    this.completed.add(digest);
    if (this.completed.size <= MAXIMUM_COMPLETED_REQUESTS) return;
    const [oldest] = this.completed;
    this.completed.delete(oldest);
  }

  private addRun(digest: string, run: KnownRun): void {
    const known = this.suspects.get(digest) ?? UNKNOWN_SUSPECT;
    if (known.runs.some((one) => isSameCrash(one, run))) return;
    if (this.now() - run.lostAtMs >= WITHHOLD_DURATION_MS) return;
    this.addCrash(run);
    const runs = [...known.runs, run].slice(-MAXIMUM_RECORD_ITEMS);
    this.store(digest, { ...known, runs });
  }

  /**
   * Also stores an acquittal whose crash isn't known here yet: records arrive
   * in any order.
   */
  private addAcquittal({ digest, atMs }: Acquittal, isOwn: boolean): void {
    const known = this.suspects.get(digest) ?? UNKNOWN_SUSPECT;
    if (known.acquittedAtMs >= atMs) return;
    if (this.now() - atMs >= WITHHOLD_DURATION_MS) return;
    this.store(digest, {
      ...known,
      acquittedAtMs: atMs,
      isOwnAcquittal: isOwn,
    });
  }

  private store(digest: string, suspect: Suspect): void {
    this.suspects.delete(digest);
    this.suspects.set(digest, suspect);
    if (this.suspects.size <= MAXIMUM_SUSPECTS) return;
    const oldest = [...this.suspects.keys()].find(
      (one) => !this.isWithheld(one),
    );
    this.suspects.delete(oldest ?? digest);
  }
}

/**
 * An acquittal is kept for as long as the runs it refers to may still be read
 * from the record of an entry that hasn't written since.
 */
function retentionMsOf({ acquittedAtMs }: Suspect, crashes: number): number {
  const isAcquitted = Number.isFinite(acquittedAtMs);
  const isWithheld = crashes >= CRASHES_UNTIL_WITHHELD;
  return isAcquitted || isWithheld
    ? WITHHOLD_DURATION_MS
    : SUSPECT_RETENTION_MS;
}

function toCrashedRun({ runner, sentAtMs, lostAtMs }: KnownRun): CrashedRun {
  return { runner, sentAtMs, lostAtMs };
}
