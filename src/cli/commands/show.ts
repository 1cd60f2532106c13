import { Command } from "clipanion";
import { LogClient } from "../../platform/log-client.js";
import { readHistory } from "../configuration-log.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import { ToolCommand } from "../tool-command.js";

/** Shows the configuration in force according to the log. */
export class ShowCommand extends ToolCommand {
  static override paths = [["show"]];
  static override usage = Command.Usage({
    description: "Show the configuration in force",
  });

  protected async run(): Promise<ExitCode> {
    const { state } = await readHistory(LogClient.create(this.logAddress));
    const { inForce, notUnderstood } = state;
    const newer = notUnderstood?.version ?? null;
    if (inForce === null) {
      this.print({ version: null, newer }, "no configuration is in force");
      return exitCodes.refused;
    }
    const { version, hash, author, configuration } = inForce;
    const head = `version ${version}, hash ${hash}, by ${author || "unknown"}`;
    const note = newer === null ? "" : `\nnewer, not understood: ${newer}`;
    const content = JSON.stringify(configuration, undefined, 2);
    this.print(
      { version, hash, author, newer, configuration },
      `${head}${note}\n${content}`,
    );
    return exitCodes.done;
  }
}
