/**
 * Faults that the demo injects, each with a check made at the end of the run.
 */
import type { CheckResult } from "./run-checks.js";
import type { Site } from "./site.js";

export interface Fault {
  readonly name: string;
  /**
   * Delay before the injection, in which the previous fault takes full effect.
   */
  readonly delayMs: number;
  /** Injects the fault; resolves with the check for the end of the run. */
  readonly inject: (site: Site) => Promise<() => Promise<CheckResult>>;
}

const NEW_WORK_GRACE_MS = 3000;
const VM_LIST_LAG_MS = 2000;
/** Five report windows until the first plan, then weight fetch and switch. */
const FIRST_MAP_SWITCH_MS = 12_000;
/**
 * Time for a map switch before a runner leaves: a switch needs the vote of
 * every rank, so none can happen afterwards.
 */
const DEMAND_SHIFT_SETTLE_MS = 20_000;

/** Stops delivery on the open connections to one agent; new ones work. */
export function silenceRunner(index: number): Fault {
  return {
    name: `open connections to runner ${index} stop delivering`,
    delayMs: 3000,
    inject: (site) => {
      const { relay, engine } = site.runners[index];
      const count = relay.silence();
      const startedBefore = engine.runs.started.length;
      return Promise.resolve(() => {
        const startedSince = engine.runs.started.length - startedBefore;
        return Promise.resolve({
          name: "a runner gets work on new connections after open ones stop delivering",
          hasPassed: count > 0 && startedSince > 0,
          detail: `${count} connections stopped, ${startedSince} runs started since`,
        });
      });
    },
  };
}

/** Drains one backend server; the VM list shows the change with a delay. */
export function drainRunner(index: number): Fault {
  return {
    name: `runner ${index} leaves`,
    delayMs: DEMAND_SHIFT_SETTLE_MS,
    inject: async (site) => {
      const { daemon, engine } = site.runners[index];
      const { name, operators, exited } = daemon.process;
      const drainStartedAtMs = Date.now();
      site.vmList.faults.lagMs = VM_LIST_LAG_MS;
      site.showVms((vm) =>
        vm.name === name ? { ...vm, state: "leaving" } : vm,
      );
      await fetch(`http://${operators}/leave`, { method: "POST" });
      return async () => {
        const code = await exited;
        const runs = [...engine.runs.runs.values()];
        const late = runs.filter(
          ({ startedAtMs }) =>
            startedAtMs > drainStartedAtMs + NEW_WORK_GRACE_MS,
        );
        const cancelled = runs.filter(({ isCancelled }) => isCancelled);
        return {
          name: "a leaving backend server gets no new work and cancels none",
          hasPassed: code === 0 && late.length === 0 && cancelled.length === 0,
          detail: `exit code ${String(code)}, ${late.length} late runs, ${cancelled.length} cancelled runs`,
        };
      };
    },
  };
}

/** Shifts the demand to other experts, as a change in the workload does. */
export function shiftDemand(): Fault {
  return {
    name: "demand shifts to other experts",
    delayMs: FIRST_MAP_SWITCH_MS,
    inject: (site) => {
      const { group } = site;
      const versionsBefore = group?.versions().length ?? 0;
      group?.shiftDemand();
      return Promise.resolve(() => {
        const versions = group?.versions().length ?? 0;
        return Promise.resolve({
          name: "experts move after a demand shift",
          hasPassed: versions > versionsBefore,
          detail: `${versionsBefore} map versions before, ${versions} now`,
        });
      });
    },
  };
}
