import { Command, Option } from "clipanion";
import { parse } from "jsonc-parser";
import {
  checkConfiguration,
  contentHash,
  type ApricotdeckError,
  type Configuration,
} from "../../internal.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import { readFile, ToolCommand } from "../tool-command.js";

/** Validates a configuration file locally, without contacting any service. */
export class CheckCommand extends ToolCommand {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "Check a configuration file locally",
    examples: [["Check a file", "apricotdeck check site.jsonc"]],
  });

  readonly file = Option.String();

  protected run(): Promise<ExitCode> {
    const content: unknown = parse(readFile(this.file));
    const code = checkConfiguration(content).caseOf({
      Left: (problem) => this.refuse(problem),
      Right: (configuration) => this.accept(content, configuration),
    });
    return Promise.resolve(code);
  }

  private refuse({ message, number, detail }: ApricotdeckError): ExitCode {
    this.print({ valid: false, number, detail }, message);
    return exitCodes.refused;
  }

  private accept(content: unknown, configuration: Configuration): ExitCode {
    const { profiles, accounts, groups } = configuration;
    const hash = contentHash(content);
    const sizes = {
      profiles: profiles.length,
      accounts: accounts.length,
      groups: groups.length,
    };
    const text = Object.entries(sizes)
      .map(([name, size]) => `${size} ${name}`)
      .join(", ");
    this.print({ valid: true, hash, ...sizes }, `valid: ${text}`);
    return exitCodes.done;
  }
}
