/** Counts datagrams that can't be read, and logs each finding once. */
import { toFailure, type Emit, type Measurements } from "../internal.js";

export interface DatagramFindingsOptions {
  readonly emit: Emit;
  readonly measurements: Measurements;
}

/** Further findings are only counted. */
export const MAXIMUM_LOGGED_FINDINGS = 64;

export class DatagramFindings {
  private readonly logged = new Set<string>();

  private constructor(private readonly options: DatagramFindingsOptions) {}

  static create(options: DatagramFindingsOptions): DatagramFindings {
    return new DatagramFindings(options);
  }

  /**
   * Returns what `decode` does, or undefined if it throws. `from`: host of the
   * sender.
   */
  read<T>(decode: () => T, from: string): T | undefined {
    try {
      return decode();
    } catch (error) {
      const { message } = toFailure(error, 1905);
      this.report(from, message);
      return undefined;
    }
  }

  private report(from: string, reason: string): void {
    const { emit, measurements } = this.options;
    measurements.count("loadDatagrams", { result: "unreadable" });
    const finding = `${from} ${reason}`;
    if (this.logged.has(finding)) return;
    if (this.logged.size >= MAXIMUM_LOGGED_FINDINGS) return;
    this.logged.add(finding);
    emit(248, { from, reason });
  }
}
