import { setTimeout as sleep } from "node:timers/promises";
import { Command, Option } from "clipanion";
import { raise } from "../../internal.js";
import { readVmList, type Vm } from "../../platform/vm-list-client.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import { queryProcess } from "../processes.js";
import { ToolCommand } from "../tool-command.js";

const POLL_INTERVAL_MS = 200;
const DEFAULT_WAIT_SECONDS = "60";

/** Tells a process to drain and waits until it has ended. */
export class DrainCommand extends ToolCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    description: "Let a process finish its work and end",
    examples: [["Drain one", "apricotdeck drain runner-3"]],
  });

  readonly process = Option.String();

  readonly wait = Option.String("--wait-seconds", DEFAULT_WAIT_SECONDS, {
    description: "Longest wait until it has ended, in seconds",
  });

  protected async run(): Promise<ExitCode> {
    const vm = await this.findProcess();
    const answer = await queryProcess(vm, "POST", "/leave");
    if (answer === undefined) raise(2001, { process: vm.name });
    this.progress(`${vm.name} is leaving`);
    const deadline = Date.now() + Number(this.wait) * 1000;
    while (Date.now() < deadline) {
      if ((await queryProcess(vm, "GET", "/health")) === undefined) {
        this.print({ process: vm.name, ended: true }, `${vm.name} has ended`);
        return exitCodes.done;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    this.print({ process: vm.name, ended: false }, `${vm.name} still runs`);
    return exitCodes.incomplete;
  }

  private async findProcess(): Promise<Vm> {
    const vms = await readVmList(this.vmListAddress);
    const vm = vms.find(({ name }) => name === this.process);
    return vm ?? raise(2004, { process: this.process });
  }
}
