import { Command } from "clipanion";
import { verdictFailure, type Verdict } from "../../internal.js";
import { LogClient } from "../../platform/log-client.js";
import { readHistory } from "../configuration-log.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import { renderTable } from "../table.js";
import { ToolCommand } from "../tool-command.js";

interface HistoryRow {
  readonly offset: number;
  readonly appendedAt: string;
  readonly author: string;
  readonly verdict: Verdict["kind"];
  readonly reason: string;
}

/** Lists every publication that the log still holds, with its verdict. */
export class HistoryCommand extends ToolCommand {
  static override paths = [["history"]];
  static override usage = Command.Usage({
    description: "List publications and their verdicts",
  });

  protected async run(): Promise<ExitCode> {
    const log = LogClient.create(this.logAddress);
    const { verdicts, appendedAtMs } = await readHistory(log);
    const rows = verdicts.map((verdict) => rowOf(verdict, appendedAtMs));
    const head = ["offset", "appended", "author", "verdict", "reason"];
    const cells = rows.map((row) => [
      String(row.offset),
      row.appendedAt,
      row.author,
      row.verdict,
      row.reason,
    ]);
    this.print({ history: rows }, renderTable(head, cells));
    return exitCodes.done;
  }
}

function rowOf(
  verdict: Verdict,
  appendedAtMs: ReadonlyMap<number, number>,
): HistoryRow {
  const { offset, kind } = verdict;
  const atMs = appendedAtMs.get(offset);
  return {
    offset,
    appendedAt: atMs === undefined ? "" : new Date(atMs).toISOString(),
    author: "author" in verdict ? verdict.author : "",
    verdict: kind,
    reason: verdictFailure(verdict)?.message ?? "",
  };
}
