/**
 * One request as a suspect: whether it is withheld, and what becomes of its runs.
 */
import type { BackendServer } from "../membership/types.js";
import { digestOf } from "../suspects/request-digest.js";
import type { SuspectDesk } from "../suspects/suspect-desk.js";
import type { AttemptEnd, Call } from "./types.js";

/**
 * A request that crashes its runner does so when it begins to run. One whose
 * events have come for longer than this is no suspect, ms.
 */
const BEGINNING_MS = 1000;

export class SuspectedRun {
  private knownDigest: string | undefined;
  private sentAtMs = 0;
  private firstEventAtMs: number | undefined;

  private constructor(
    private readonly suspects: SuspectDesk,
    private readonly call: Call,
  ) {}

  static create(suspects: SuspectDesk, call: Call): SuspectedRun {
    return new SuspectedRun(suspects, call);
  }

  get isWithheld(): boolean {
    const { requests } = this.suspects;
    return requests.size > 0 && requests.isWithheld(this.digest);
  }

  /** A run begins. */
  onSent(): void {
    this.sentAtMs = this.suspects.now();
    this.firstEventAtMs = undefined;
  }

  /** An event of the run has come. */
  onEvent(): void {
    this.firstEventAtMs ??= this.suspects.now();
  }

  /** Resolves once it is known whether the run was lost to a crash. */
  async onEnd(runner: BackendServer, end: AttemptEnd): Promise<void> {
    const { crashes } = this.suspects;
    if (end.kind === "not-run" && end.faultyRunner !== undefined) {
      crashes.onCrashed(end.faultyRunner);
    }
    if (end.kind === "streamed" || end.kind === "answered") this.acquit();
    const isLost = end.kind === "broken" && end.isLost;
    if (!isLost || this.isBehindBeginning()) return;
    const { digest, sentAtMs } = this;
    await crashes.onLost(runner, { digest, sentAtMs });
  }

  private acquit(): void {
    const { requests } = this.suspects;
    if (requests.acquit(this.digest)) {
      this.suspects.onAcquitted(this.call.id);
    }
  }

  private isBehindBeginning(): boolean {
    if (this.firstEventAtMs === undefined) return false;
    return this.suspects.now() - this.firstEventAtMs > BEGINNING_MS;
  }

  private get digest(): string {
    this.knownDigest ??= digestOf(this.call);
    return this.knownDigest;
  }
}
