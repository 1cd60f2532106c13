/**
 * Asks the runners themselves which of them are slow, while the store is out of
 * reach. An entry that is cut off from the store alone gets no notes of slow
 * ranks; it goes on sending work there, and by that slows the streams of all
 * other entries. Asking costs a connection and a probe a runner, so it is done
 * only while the streams of a service are late.
 */
import { toFailure, type Emit, type Now } from "../internal.js";
import type { PaceNote } from "../membership/slow-runners.js";

/** A service whose streams are late. */
export interface LateService {
  readonly name: string;
  /** host:port of its runners. */
  readonly runners: readonly string[];
}

export interface PaceInquiryOptions {
  readonly now: Now;
  readonly emit: Emit;
  readonly lateServices: () => readonly LateService[];
  /** How many times as long as usual the runner takes. Throws 1607. */
  readonly slownessOf: (address: string) => Promise<number>;
  readonly take: (note: PaceNote) => void;
}

/** Between two looks at whether streams are late, ms. */
const LOOK_INTERVAL_MS = 250;
/**
 * Between two inquiries, ms. A note counts for nine seconds, so this only
 * decides how soon a recovered runner is used again.
 */
const INQUIRY_INTERVAL_MS = 2000;

export class PaceInquiry implements Disposable {
  private timer: NodeJS.Timeout | undefined;
  private inquiredAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: PaceInquiryOptions) {}

  static create(options: PaceInquiryOptions): PaceInquiry {
    return new PaceInquiry(options);
  }

  onStoreLost(): void {
    this.timer ??= setInterval(() => {
      this.look();
    }, LOOK_INTERVAL_MS);
  }

  onStoreRestored(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  [Symbol.dispose](): void {
    this.onStoreRestored();
  }

  private look(): void {
    const nowMs = this.options.now();
    if (nowMs - this.inquiredAtMs < INQUIRY_INTERVAL_MS) return;
    const late = this.options.lateServices();
    if (late.length === 0) return;
    this.inquiredAtMs = nowMs;
    for (const { runners } of late) {
      for (const address of runners) void this.ask(address);
    }
  }

  private async ask(address: string): Promise<void> {
    const { emit, take, slownessOf } = this.options;
    try {
      const slowness = await slownessOf(address);
      take({ address, slowness, startedAtMs: undefined });
    } catch (error) {
      const { message } = toFailure(error, 1607);
      emit(218, { address, reason: message });
    }
  }
}
