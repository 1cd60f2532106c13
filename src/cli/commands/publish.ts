import { setTimeout as sleep } from "node:timers/promises";
import { Command, Option } from "clipanion";
import { createTwoFilesPatch } from "diff";
import { parse } from "jsonc-parser";
import { v7 as uuidV7 } from "uuid";
import {
  ApricotdeckError,
  BASELINE_FORMAT,
  canonicalJson,
  checkConfiguration,
  CONFIGURATION_STREAM,
  raise,
  toFailure,
  verdictFailure,
  type ConfigurationState,
  type Publication,
  type Verdict,
} from "../../internal.js";
import { LogClient } from "../../platform/log-client.js";
import {
  readHistory,
  type ConfigurationHistory,
} from "../configuration-log.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import { queryAllProcesses, type ProcessAnswer } from "../processes.js";
import { readFile, ToolCommand } from "../tool-command.js";

const POLL_INTERVAL_MS = 200;
const DEFAULT_WAIT_SECONDS = "30";

/** Publishes a configuration and waits until it is in force everywhere. */
export class PublishCommand extends ToolCommand {
  static override paths = [["publish"]];
  static override usage = Command.Usage({
    description: "Publish a configuration and wait until it is in force",
    examples: [
      ["Publish a file", "apricotdeck publish site.jsonc"],
      ["Only show the difference", "apricotdeck publish site.jsonc --dry-run"],
    ],
  });

  readonly file = Option.String();

  readonly author = Option.String("--author", process.env.USER ?? "unknown", {
    description: "Name shown in the history",
  });

  readonly dryRun = Option.Boolean("--dry-run", false, {
    description: "Show the difference without publishing",
  });

  readonly wait = Option.String("--wait-seconds", DEFAULT_WAIT_SECONDS, {
    description: "Longest wait for the verdict and the processes, in seconds",
  });

  protected async run(): Promise<ExitCode> {
    const content: unknown = parse(readFile(this.file));
    const invalid = checkConfiguration(content).swap().extract();
    if (invalid instanceof ApricotdeckError) return this.refuse(invalid);
    if (this.author === "") {
      raise(1002, { path: "--author", expected: "a name", found: "nothing" });
    }
    const log = LogClient.create(this.logAddress);
    const history = await readHistory(log);
    this.showDifference(history.state, content);
    if (this.dryRun) return exitCodes.done;
    const publication = createPublication(history.state, content, this.author);
    const deadline = Date.now() + Number(this.wait) * 1000;
    const verdict = await this.append(log, history, publication, deadline);
    const problem = verdictFailure(verdict);
    if (problem !== undefined) return this.refuse(problem);
    const version = verdict.kind === "duplicate" ? verdict.of : verdict.offset;
    this.progress(`accepted as version ${version}`);
    return this.awaitProcesses(version, deadline);
  }

  private refuse({ number, detail, message }: ApricotdeckError): ExitCode {
    this.print({ accepted: false, number, detail }, message);
    return exitCodes.refused;
  }

  private showDifference(state: ConfigurationState, content: unknown): void {
    const { inForce } = state;
    const before = formatJson(inForce?.configuration ?? {});
    const patch = createTwoFilesPatch(
      `version ${inForce?.version ?? "none"}`,
      this.file,
      before,
      formatJson(content),
    );
    if (!this.json) this.context.stdout.write(`${patch}\n`);
  }

  /**
   * Appends until the log shows a verdict. The answer to an append may be lost
   * after the record was stored, so only reading the log tells whether it took
   * effect. Appending the same record again is safe: a repeated nonce isn't
   * accepted twice.
   */
  private async append(
    log: LogClient,
    history: ConfigurationHistory,
    publication: Publication,
    deadline: number,
  ): Promise<Verdict> {
    const record = Buffer.from(JSON.stringify(publication));
    let latest = history;
    while (Date.now() < deadline) {
      try {
        await log.append(CONFIGURATION_STREAM, [record]);
      } catch (error) {
        this.progress(`no answer: ${toFailure(error, 1901).message}`);
      }
      latest = await this.readOrKeep(log, latest);
      const verdict = latest.verdicts.find(
        (item) => "nonce" in item && item.nonce === publication.nonce,
      );
      if (verdict !== undefined) return verdict;
      await sleep(POLL_INTERVAL_MS);
    }
    return raise(2003, { nonce: publication.nonce });
  }

  private async readOrKeep(
    log: LogClient,
    latest: ConfigurationHistory,
  ): Promise<ConfigurationHistory> {
    try {
      return await readHistory(log, latest);
    } catch (error) {
      this.progress(`waiting for the log: ${toFailure(error, 1901).message}`);
      return latest;
    }
  }

  private async awaitProcesses(
    version: number,
    deadline: number,
  ): Promise<ExitCode> {
    let missing: string[] = [];
    let shown = "";
    do {
      const answers = await queryAllProcesses(this.vmListAddress, "/status");
      missing = answers
        .filter((answer) => !hasVersion(answer, version))
        .map(({ vm }) => vm.name);
      if (missing.length === 0) {
        const processes = answers.length;
        const text = `version ${version} is in force at ${processes} processes`;
        this.print({ accepted: true, version, processes, missing }, text);
        return exitCodes.done;
      }
      const progress = `waiting for ${missing.length} of ${answers.length}`;
      if (progress !== shown) this.progress(progress);
      shown = progress;
      await sleep(POLL_INTERVAL_MS);
    } while (Date.now() < deadline);
    const text = `version ${version} is not in force at: ${missing.join(", ")}`;
    this.print({ accepted: true, version, missing }, text);
    return exitCodes.incomplete;
  }
}

function createPublication(
  { inForce, chain, nextOffset }: ConfigurationState,
  configuration: unknown,
  author: string,
): Publication {
  const head = chain.kind === "known" ? chain.head : null;
  return {
    kind: "publication",
    basedOn: head?.version ?? inForce?.version ?? null,
    seenThrough: nextOffset,
    formatVersion: BASELINE_FORMAT,
    nonce: uuidV7(),
    author,
    configuration,
  };
}

function hasVersion({ answer }: ProcessAnswer, version: number): boolean {
  if (typeof answer !== "object" || answer === null) return false;
  if (!("version" in answer)) return false;
  return typeof answer.version === "number" && answer.version >= version;
}

function formatJson(value: unknown): string {
  return `${JSON.stringify(JSON.parse(canonicalJson(value)), undefined, 2)}\n`;
}
