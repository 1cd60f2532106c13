/**
 * Follows the platform's list of VMs and keeps one session task for each
 * backend server on it.
 */
import { readVmList, type Vm } from "../../platform/vm-list-client.js";
import { pause } from "../background-task.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { AgentSession } from "./agent-session.js";

/** The list lags by seconds itself; reading faster would show nothing new. */
const LIST_INTERVAL_MS = 500;
const RECONNECT_PAUSE_MS = 200;

export interface Backend {
  readonly vm: Vm;
  readonly session: AgentSession | undefined;
}

interface BackendTask {
  vm: Vm;
  session: AgentSession | undefined;
  readonly abort: AbortController;
}

export interface BackendDirectoryOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  readonly vmList: string;
}

export class BackendDirectory {
  private readonly tasks = new Map<string, BackendTask>();
  private sessionNumber = 0;

  private constructor(private readonly options: BackendDirectoryOptions) {}

  static create(options: BackendDirectoryOptions): BackendDirectory {
    return new BackendDirectory(options);
  }

  /** Backend servers of a group that take new work now. */
  candidates(group: string): Backend[] {
    return this.all().filter(
      ({ vm, session }) =>
        vm.group === group &&
        vm.state === "live" &&
        session?.takesWork === true,
    );
  }

  all(): Backend[] {
    return [...this.tasks.values()];
  }

  find(name: string): Backend | undefined {
    return this.tasks.get(name);
  }

  /** Follows the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const vms = await readVmList(this.options.vmList);
      const backends = vms.filter(({ role }) => role === "backend");
      for (const vm of backends) this.upsert(vm, signal);
      this.dropMissing(new Set(backends.map(({ name }) => name)));
      await pause(LIST_INTERVAL_MS, signal);
    }
  }

  private upsert(vm: Vm, signal: AbortSignal): void {
    const known = this.tasks.get(vm.name);
    if (known?.vm.address === vm.address) {
      known.vm = vm;
      return;
    }
    known?.abort.abort();
    const abort = new AbortController();
    const task: BackendTask = { vm, session: undefined, abort };
    this.tasks.set(vm.name, task);
    void this.keepSession(task, AbortSignal.any([signal, abort.signal]));
  }

  /** A VM off the list keeps its session while work runs on it. */
  private dropMissing(listed: ReadonlySet<string>): void {
    for (const [name, task] of this.tasks) {
      if (listed.has(name) || (task.session?.inFlight ?? 0) > 0) continue;
      task.abort.abort();
      this.tasks.delete(name);
    }
  }

  private async keepSession(
    task: BackendTask,
    signal: AbortSignal,
  ): Promise<void> {
    const { context, transport } = this.options;
    while (!signal.aborted) {
      this.sessionNumber += 1;
      const { name: runner, address } = task.vm;
      const number = this.sessionNumber;
      task.session = AgentSession.create({
        context,
        transport,
        runner,
        address,
        number,
        signal,
      });
      await task.session.run();
      task.session = undefined;
      await pause(RECONNECT_PAUSE_MS, signal);
    }
  }
}
