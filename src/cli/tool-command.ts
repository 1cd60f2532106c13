/** Options and output shared by all commands. */
import { readFileSync } from "node:fs";
import { Command, Option } from "clipanion";
import { parse } from "jsonc-parser";
import * as z from "zod";
import { ApricotdeckError, raise, toFailure } from "../internal.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";

const LOG_VARIABLE = "APRICOTDECK_LOG";
const VM_LIST_VARIABLE = "APRICOTDECK_VM_LIST";

/**
 * Accepts the settings file of any daemon; only its platform section is read.
 */
const toolSettings = z.looseObject({
  platform: z.looseObject({ log: z.url(), vmList: z.url() }),
});

export abstract class ToolCommand extends Command {
  readonly json = Option.Boolean("--json", false, {
    description: "Print one JSON document instead of text",
  });

  readonly settings = Option.String("--settings", {
    description: "Settings file whose platform section is used",
  });

  readonly log = Option.String("--log", {
    description: `Address of the log service (or ${LOG_VARIABLE})`,
  });

  readonly vmList = Option.String("--vm-list", {
    description: `Address of the list of VMs (or ${VM_LIST_VARIABLE})`,
  });

  async execute(): Promise<ExitCode> {
    try {
      return await this.run();
    } catch (error) {
      const failure = toFailure(error, 1215);
      this.printFailure(failure);
      return failure.number < 1100 ? exitCodes.usage : exitCodes.failed;
    }
  }

  protected abstract run(): Promise<ExitCode>;

  /** Prints the value as JSON with --json, else the text. */
  protected print(value: unknown, text: string): void {
    const output = this.json ? JSON.stringify(value) : text;
    this.context.stdout.write(`${output}\n`);
  }

  /**
   * Prints progress to standard error, so that standard output stays parseable.
   */
  protected progress(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  protected get logAddress(): string {
    const address = this.log ?? process.env[LOG_VARIABLE];
    return address ?? this.platform().log;
  }

  protected get vmListAddress(): string {
    const address = this.vmList ?? process.env[VM_LIST_VARIABLE];
    return address ?? this.platform().vmList;
  }

  private platform(): { readonly log: string; readonly vmList: string } {
    const { settings } = this;
    if (settings === undefined) {
      return raise(1002, {
        expected: "--settings, or --log and --vm-list",
        found: "neither",
      });
    }
    const result = toolSettings.safeParse(parse(readFile(settings)));
    if (result.success) return result.data.platform;
    const path = result.error.issues.at(0)?.path.join(".") ?? "";
    return raise(1002, { file: settings, path });
  }

  private printFailure(failure: ApricotdeckError): void {
    const { number, message, detail, entry } = failure;
    const { name, remedy } = entry;
    const text = this.json
      ? JSON.stringify({ error: { number, name, detail, remedy } })
      : `${message}\n${remedy}`;
    this.context.stderr.write(`${text}\n`);
  }
}

/** Throws 1001. */
export function readFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    return raise(1001, { file }, error);
  }
}
