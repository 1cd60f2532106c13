/**
 * This entry's share of the rate of each cold runner. The bound holds for every
 * second from the first one on, so nothing may have to be agreed on once a
 * runner is cold: the entries known beforehand are ranked by a hash of their
 * name and the runner's id, and only the first few send to it. They are so few
 * that the bound holds even if each uses a turn at the same moment, with room
 * for entries that disagree about who takes part.
 */
import { createHash } from "node:crypto";
import type { Now, Random } from "../internal.js";
import { PacedShare } from "./paced-share.js";
import { SHARERS_WITHOUT_STORE } from "./runner-limits.js";

/** How far the requests of one second may exceed a cold runner's rate. */
export interface ColdBounds {
  /** Factor of the rate, at least 1. */
  readonly overshoot: number;
  /** Requests allowed beyond that. */
  readonly tolerance: number;
}

export interface ColdSharesInputs {
  /** Name of this entry. */
  readonly name: string;
  readonly now: Now;
  readonly random: Random;
  readonly bounds: ColdBounds;
  /**
   * All entries that share, in the same array until one joins or leaves;
   * undefined if they aren't known.
   */
  readonly entries: () => readonly string[] | undefined;
}

/** Part of the bound's room that senders may use up by sending together. */
const ROOM_FOR_TURNS = 0.6;
const MS_PER_SECOND = 1000;
/** Time without use after which a share is forgotten, ms. */
const SHARE_RETENTION_MS = 60_000;

interface ColdShare {
  readonly paced: PacedShare;
  requestsPerSecond: number;
  /** Entries at the last division. */
  entries: readonly string[] | undefined;
  isSender: boolean;
  /** Monotonic, ms. */
  usedAtMs: number;
}

export class ColdShares {
  private readonly shares = new Map<string, ColdShare>();

  private constructor(private readonly inputs: ColdSharesInputs) {}

  static create(inputs: ColdSharesInputs): ColdShares {
    return new ColdShares(inputs);
  }

  /** Whether a request may be sent to the cold runner now. */
  isOpen(runner: string, requestsPerSecond: number): boolean {
    const share = this.shareOf(runner, requestsPerSecond);
    return share.isSender && share.paced.isOpen;
  }

  /** A request is sent to the cold runner. */
  onSent(runner: string, requestsPerSecond: number): void {
    this.shareOf(runner, requestsPerSecond).paced.take();
  }

  /** The runner is warm or gone. */
  forget(runner: string): void {
    this.shares.delete(runner);
  }

  private shareOf(runner: string, requestsPerSecond: number): ColdShare {
    const share = this.updatedShare(runner, requestsPerSecond);
    share.usedAtMs = this.inputs.now();
    return share;
  }

  private updatedShare(runner: string, requestsPerSecond: number): ColdShare {
    const entries = this.inputs.entries();
    const known = this.shares.get(runner);
    const isSame =
      known?.requestsPerSecond === requestsPerSecond &&
      known.entries === entries;
    if (isSame) return known;
    const { periodMs, isSender } = this.divide(
      runner,
      requestsPerSecond,
      entries,
    );
    if (known !== undefined) {
      known.paced.setPeriod(periodMs);
      Object.assign(known, { requestsPerSecond, entries, isSender });
      return known;
    }
    this.dropUnused();
    const { now, random } = this.inputs;
    const paced = PacedShare.create({ now, random, periodMs });
    const usedAtMs = now();
    const share = { paced, requestsPerSecond, entries, isSender, usedAtMs };
    this.shares.set(runner, share);
    return share;
  }

  /** Runners that have left are never named again. */
  private dropUnused(): void {
    const sinceMs = this.inputs.now() - SHARE_RETENTION_MS;
    for (const [runner, { usedAtMs }] of this.shares) {
      if (usedAtMs < sinceMs) this.shares.delete(runner);
    }
  }

  private divide(
    runner: string,
    requestsPerSecond: number,
    names: readonly string[] | undefined,
  ): { readonly periodMs: number; readonly isSender: boolean } {
    const wholePeriodMs = MS_PER_SECOND / requestsPerSecond;
    if (names === undefined) {
      return {
        periodMs: wholePeriodMs * SHARERS_WITHOUT_STORE,
        isSender: true,
      };
    }
    const senders = sendersTo(
      runner,
      names,
      maximumSenders(requestsPerSecond, this.inputs.bounds),
    );
    return {
      periodMs: wholePeriodMs * senders.length,
      isSender: senders.includes(this.inputs.name),
    };
  }
}

/** Number of entries that may each send one request at the same moment. */
export function maximumSenders(
  requestsPerSecond: number,
  { overshoot, tolerance }: ColdBounds,
): number {
  const room = requestsPerSecond * (overshoot - 1) + tolerance;
  return Math.max(1, Math.floor(ROOM_FOR_TURNS * room));
}

/** Rendezvous hashing: one entry more or less changes one sender at most. */
function sendersTo(
  runner: string,
  names: readonly string[],
  maximum: number,
): readonly string[] {
  if (names.length <= maximum) return names;
  return names
    .map((name) => ({ name, rank: rankOf(runner, name) }))
    .toSorted((one, other) => (one.rank < other.rank ? -1 : 1))
    .slice(0, maximum)
    .map(({ name }) => name);
}

function rankOf(runner: string, name: string): string {
  return createHash("sha256").update(`${runner}\n${name}`).digest("hex");
}
