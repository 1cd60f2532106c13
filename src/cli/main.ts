#!/usr/bin/env node
/** `apricotdeck`: the operators' command-line tool. */
import { Builtins, Cli } from "clipanion";
import { RELEASE } from "../release.js";
import { BundleCommand } from "./commands/bundle.js";
import { CheckCommand } from "./commands/check.js";
import { DrainCommand } from "./commands/drain.js";
import { ExplainCommand } from "./commands/explain.js";
import { HistoryCommand } from "./commands/history.js";
import { PublishCommand } from "./commands/publish.js";
import { ShowCommand } from "./commands/show.js";
import { StatusCommand } from "./commands/status.js";
import { TimelineCommand } from "./commands/timeline.js";

const cli = new Cli({
  binaryLabel: "apricotdeck",
  binaryName: "apricotdeck",
  binaryVersion: RELEASE,
});

cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(BundleCommand);
cli.register(CheckCommand);
cli.register(DrainCommand);
cli.register(ExplainCommand);
cli.register(HistoryCommand);
cli.register(PublishCommand);
cli.register(ShowCommand);
cli.register(StatusCommand);
cli.register(TimelineCommand);

await cli.runExit(process.argv.slice(2));
