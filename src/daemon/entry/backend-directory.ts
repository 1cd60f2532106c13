/**
 * Follows the platform's list of VMs and keeps a session to each backend
 * server on it.
 */
import { readVmList, type Vm } from "../../platform/vm-list-client.js";
import { pause } from "../background-task.js";
import type { RunnerSession, Sessions } from "./sessions.js";

/** The list lags by seconds itself; reading faster would show nothing new. */
const LIST_INTERVAL_MS = 500;

export interface Backend {
  readonly vm: Vm;
  readonly session: RunnerSession | undefined;
}

export interface BackendDirectoryOptions {
  readonly sessions: Sessions;
  readonly vmList: string;
}

export class BackendDirectory {
  private readonly vms = new Map<string, Vm>();
  private entries = 1;

  private constructor(private readonly options: BackendDirectoryOptions) {}

  static create(options: BackendDirectoryOptions): BackendDirectory {
    return new BackendDirectory(options);
  }

  /** Live entries, this one included, as the lagging list has them. */
  get entryCount(): number {
    return this.entries;
  }

  all(): Backend[] {
    const { sessions } = this.options;
    return [...this.vms.values()].map((vm) => ({
      vm,
      session: sessions.session(vm.name),
    }));
  }

  /** host:port of an agent. */
  addressOf(name: string): string | undefined {
    return this.vms.get(name)?.address;
  }

  /** Follows the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const vms = await readVmList(this.options.vmList);
      const backends = vms.filter(({ role }) => role === "backend");
      for (const vm of backends) this.upsert(vm);
      const entries = vms.filter(
        ({ role, state }) => role === "entry" && state === "live",
      );
      this.entries = Math.max(1, entries.length);
      this.dropMissing(new Set(backends.map(({ name }) => name)));
      await pause(LIST_INTERVAL_MS, signal);
    }
  }

  private upsert(vm: Vm): void {
    const { sessions } = this.options;
    this.vms.set(vm.name, vm);
    sessions.addRunner(vm.name, vm.address);
    if (vm.state !== "live") sessions.markLeaving(vm.name);
  }

  /** A VM off the list keeps its session while work runs on it. */
  private dropMissing(listed: ReadonlySet<string>): void {
    const { sessions } = this.options;
    for (const name of this.vms.keys()) {
      const inFlight = sessions.session(name)?.inFlight ?? 0;
      if (listed.has(name) || inFlight > 0) continue;
      sessions.removeRunner(name);
      this.vms.delete(name);
    }
  }
}
