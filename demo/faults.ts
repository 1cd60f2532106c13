/** Faults of the demo, each with the check of what must hold after it. */
import type { Promised } from "./promises.js";
import type { Site } from "./site.js";

export interface Fault {
  readonly name: string;
  /** Resolves with the check that is made at the end of the run. */
  readonly cause: (site: Site) => Promise<() => Promise<Promised>>;
}

const LAST_NEW_WORK_MS = 3000;
const LIST_LAG_MS = 2000;

/** The connections to one agent go silent while new ones work. */
export function silenceRunner(index: number): Fault {
  return {
    name: `connections to runner ${index} go silent`,
    cause: (site) => {
      const { relay, engine } = site.runners[index];
      const count = relay.silence();
      const startedBefore = engine.runs.started.length;
      return Promise.resolve(() => {
        const startedSince = engine.runs.started.length - startedBefore;
        return Promise.resolve({
          name: "a runner behind silent connections gets work on new ones",
          held: count > 0 && startedSince > 0,
          detail: `${count} connections, ${startedSince} starts since`,
        });
      });
    },
  };
}

/** One backend server leaves; the list of VMs shows it late. */
export function drainRunner(index: number): Fault {
  return {
    name: `runner ${index} leaves`,
    cause: async (site) => {
      const { daemon, engine } = site.runners[index];
      const { name, operators, ended } = daemon.process;
      const leftAtMs = Date.now();
      site.vmList.faults.lagMs = LIST_LAG_MS;
      site.showVms((vm) =>
        vm.name === name ? { ...vm, state: "leaving" } : vm,
      );
      await fetch(`http://${operators}/leave`, { method: "POST" });
      return async () => {
        const code = await ended;
        const runs = [...engine.runs.runs.values()];
        const late = runs.filter(
          ({ startedAtMs }) => startedAtMs > leftAtMs + LAST_NEW_WORK_MS,
        );
        const cut = runs.filter(({ cancelled }) => cancelled);
        return {
          name: "a leaving backend server gets no new work and cuts none",
          held: code === 0 && late.length === 0 && cut.length === 0,
          detail: `exit ${String(code)}, late ${late.length}, cut ${cut.length}`,
        };
      };
    },
  };
}

/** Demand turns to other experts, as when a wave of mandates comes in. */
export function startWave(): Fault {
  return {
    name: "other experts become popular",
    cause: (site) => {
      const { group } = site;
      const versionsBefore = group?.versions().length ?? 0;
      group?.startWave();
      return Promise.resolve(() => {
        const versions = group?.versions().length ?? 0;
        return Promise.resolve({
          name: "experts move after the demand for them has turned",
          held: versions > versionsBefore,
          detail: `${versionsBefore} versions before, ${versions} now`,
        });
      });
    },
  };
}
