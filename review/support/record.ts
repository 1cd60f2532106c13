/** Collects what was sent, answered and run, and writes it to a file. */
import { writeFileSync } from "node:fs";

export class CaseRecord {
  private readonly lines: string[] = [];

  private constructor(private readonly file: string) {}

  static create(file: string): CaseRecord {
    return new CaseRecord(file);
  }

  /** Adds a line with the time since the start of the script, seconds. */
  add(text: string): void {
    this.lines.push(`${(performance.now() / 1000).toFixed(3)} ${text}`);
  }

  save(): void {
    writeFileSync(this.file, `${this.lines.join("\n")}\n`);
  }
}
