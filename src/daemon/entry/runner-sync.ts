/** Tells placement which runners take work, and what their agents report. */
import type { Configuration, Placement } from "../../internal.js";
import type { Backend, BackendDirectory } from "./backend-directory.js";
import { poolOfGroup } from "./pools.js";

export interface RunnerSyncOptions {
  readonly placement: Placement;
  readonly directory: BackendDirectory;
  /** Undefined before the first version is in force. */
  readonly configuration: () => Configuration | undefined;
  /** Requests that a runner works on at once. */
  readonly slots: number;
}

/** What placement was told last of a runner. */
interface Known {
  summary: string;
  load: unknown;
}

export class RunnerSync {
  private readonly known = new Map<string, Known>();

  private constructor(private readonly options: RunnerSyncOptions) {}

  static create(options: RunnerSyncOptions): RunnerSync {
    return new RunnerSync(options);
  }

  /** Looks at all sessions; cheap enough for ten times a second. */
  run(): void {
    const { directory, placement } = this.options;
    const live = new Set<string>();
    for (const backend of directory.all()) {
      const { vm, session } = backend;
      if (vm.state !== "live" || session?.takesWork !== true) continue;
      live.add(vm.name);
      this.tell(backend);
    }
    for (const name of this.known.keys()) {
      if (live.has(name)) continue;
      this.known.delete(name);
      placement.removeRunner(name);
    }
  }

  private tell({ vm, session }: Backend): void {
    const { placement, configuration, slots } = this.options;
    const { name: runner, dataCentre, group = "" } = vm;
    const groups = configuration()?.groups ?? [];
    const pool = poolOfGroup(groups.find(({ name }) => name === group));
    const known = this.known.get(runner) ?? { summary: "", load: undefined };
    this.known.set(runner, known);
    const summary = `${group} ${pool} ${dataCentre}`;
    if (known.summary !== summary) {
      known.summary = summary;
      const pools = [pool];
      const adapters: readonly string[] = [];
      const description = { runner, group, dataCentre, pools, adapters, slots };
      placement.setRunner(description);
    }
    if (session?.load === undefined || known.load === session.load) return;
    known.load = session.load;
    placement.onReport(runner, session.load);
  }
}
