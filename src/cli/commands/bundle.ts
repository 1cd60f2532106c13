import { writeFileSync } from "node:fs";
import { promisify } from "node:util";
import { gzip } from "node:zlib";
import { Command, Option } from "clipanion";
import { toFailure } from "../../internal.js";
import { LogClient } from "../../platform/log-client.js";
import { readHistory } from "../configuration-log.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import { queryProcess } from "../processes.js";
import { readVmList, type Vm } from "../../platform/vm-list-client.js";
import { ToolCommand } from "../tool-command.js";

const COLLECTED_PATHS = ["/status", "/metrics", "/events"] as const;
const compress = promisify(gzip);

/**
 * Writes a support bundle: the answers from the operators' addresses of all
 * processes, which never include callers' content, and the published
 * configuration without its credential hashes.
 */
export class BundleCommand extends ToolCommand {
  static override paths = [["bundle"]];
  static override usage = Command.Usage({
    description: "Write a support bundle without secrets or content",
    examples: [["Write it", "apricotdeck bundle bundle.json.gz"]],
  });

  readonly file = Option.String();

  protected async run(): Promise<ExitCode> {
    const vms = await readVmList(this.vmListAddress);
    const processes = await Promise.all(vms.map(collectAnswers));
    const configuration = await this.readConfiguration();
    const createdAt = new Date().toISOString();
    const bundle = { createdAt, vms, configuration, processes };
    const data = await compress(JSON.stringify(bundle, redactSecrets));
    writeFileSync(this.file, data);
    const missing = processes
      .filter((item) => item.answers["/status"] === null)
      .map(({ name }) => name);
    const note =
      missing.length > 0 ? `; not reached: ${missing.join(", ")}` : "";
    const { length } = processes;
    const text = `${this.file}: ${data.length} bytes, ${length} processes${note}`;
    this.print({ file: this.file, bytes: data.length, missing }, text);
    return missing.length > 0 ? exitCodes.incomplete : exitCodes.done;
  }

  /**
   * An outage of the log must not prevent the bundle that is to diagnose it.
   */
  private async readConfiguration(): Promise<unknown> {
    try {
      const log = LogClient.create(this.logAddress);
      const { state, verdicts } = await readHistory(log);
      return { state, verdicts };
    } catch (error) {
      return { missing: toFailure(error, 1901).message };
    }
  }
}

interface ProcessSection {
  readonly name: string;
  readonly answers: Readonly<Record<(typeof COLLECTED_PATHS)[number], unknown>>;
}

async function collectAnswers(vm: Vm): Promise<ProcessSection> {
  const [status, metrics, events] = await Promise.all(
    COLLECTED_PATHS.map(
      async (path) => (await queryProcess(vm, "GET", path)) ?? null,
    ),
  );
  const answers = {
    "/status": status,
    "/metrics": metrics,
    "/events": events,
  };
  return { name: vm.name, answers };
}

function redactSecrets(key: string, value: unknown): unknown {
  return key === "credentialHashes" ? "(left out)" : value;
}
