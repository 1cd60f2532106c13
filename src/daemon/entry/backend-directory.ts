/**
 * Polls the platform's VM list and keeps a session to each backend server on
 * it.
 */
import { readVmList, type Vm } from "../../platform/vm-list-client.js";
import { pause } from "../background-task.js";
import type { RunnerSession, Sessions } from "./sessions.js";

/** The list itself lags by seconds, so faster polling shows nothing new. */
const LIST_POLL_INTERVAL_MS = 500;

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
  private liveEntryCount = 1;

  private constructor(private readonly options: BackendDirectoryOptions) {}

  static create(options: BackendDirectoryOptions): BackendDirectory {
    return new BackendDirectory(options);
  }

  /**
   * Number of live entries on the list, including this one; lags by seconds.
   */
  get entryCount(): number {
    return this.liveEntryCount;
  }

  list(): Backend[] {
    const { sessions } = this.options;
    return [...this.vms.values()].map((vm) => ({
      vm,
      session: sessions.session(vm.name),
    }));
  }

  /** Returns the agent's host:port, or undefined if the agent isn't listed. */
  addressOf(name: string): string | undefined {
    return this.vms.get(name)?.address;
  }

  /** Polls the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const vms = await readVmList(this.options.vmList);
      const backends = vms.filter(({ role }) => role === "backend");
      for (const vm of backends) this.upsert(vm);
      const entries = vms.filter(
        ({ role, state }) => role === "entry" && state === "live",
      );
      this.liveEntryCount = Math.max(1, entries.length);
      this.removeUnlisted(new Set(backends.map(({ name }) => name)));
      await pause(LIST_POLL_INTERVAL_MS, signal);
    }
  }

  private upsert(vm: Vm): void {
    const { sessions } = this.options;
    this.vms.set(vm.name, vm);
    sessions.addRunner(vm.name, vm.address);
    if (vm.state !== "live") sessions.markLeaving(vm.name);
  }

  /**
   * A VM that left the list keeps its session while it has requests in flight.
   */
  private removeUnlisted(listed: ReadonlySet<string>): void {
    const { sessions } = this.options;
    for (const name of this.vms.keys()) {
      const inFlight = sessions.session(name)?.inFlight ?? 0;
      if (listed.has(name) || inFlight > 0) continue;
      sessions.removeRunner(name);
      this.vms.delete(name);
    }
  }
}
