import { Command, Option } from "clipanion";
import {
  errorTable,
  eventTable,
  isErrorNumber,
  type EventEntry,
  type EventNumber,
} from "../../internal.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import { ToolCommand } from "../tool-command.js";

/**
 * Prints the meaning of an error or event number, and the remedy of an error.
 */
export class ExplainCommand extends ToolCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Explain the number of an error or event",
    examples: [["An error", "apricotdeck explain 1203"]],
  });

  readonly number = Option.String();

  protected run(): Promise<ExitCode> {
    return Promise.resolve(this.explain(Number(this.number)));
  }

  private explain(number: number): ExitCode {
    if (isErrorNumber(number)) {
      const { name, status, outcome, text, remedy } = errorTable[number];
      const lines = [
        `error ${number} ${name}`,
        text,
        `what to do: ${remedy}`,
        `outcome for the caller: ${outcome}, HTTP status: ${status || "none"}`,
      ];
      this.print({ number, ...errorTable[number] }, lines.join("\n"));
      return exitCodes.done;
    }
    if (isEventNumber(number)) {
      const entry: EventEntry = eventTable[number];
      const fields = Object.entries(entry.fields).map(
        ([field, meaning]) => `  ${field}: ${meaning}`,
      );
      const head = `event ${number} ${entry.name} (${entry.level})`;
      const lines = [head, entry.meaning, ...fields];
      this.print({ number, ...entry }, lines.join("\n"));
      return exitCodes.done;
    }
    this.print({ number, known: false }, `no error or event ${number}`);
    return exitCodes.refused;
  }
}

function isEventNumber(value: number): value is EventNumber {
  return Object.hasOwn(eventTable, value);
}
