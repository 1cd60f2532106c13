/** Keeps placement informed of available runners and their load reports. */
import type { Configuration, Placement } from "../../internal.js";
import type { Backend, BackendDirectory } from "./backend-directory.js";
import { poolOfGroup } from "./pools.js";

export interface RunnerSyncOptions {
  readonly placement: Placement;
  readonly directory: BackendDirectory;
  /** Returns undefined before the first version is in force. */
  readonly configuration: () => Configuration | undefined;
  /** Number of requests that a runner executes concurrently. */
  readonly slots: number;
}

/** The last state of a runner that placement received. */
interface PublishedRunner {
  summary: string;
  load: unknown;
}

export class RunnerSync {
  private readonly publishedRunners = new Map<string, PublishedRunner>();

  private constructor(private readonly options: RunnerSyncOptions) {}

  static create(options: RunnerSyncOptions): RunnerSync {
    return new RunnerSync(options);
  }

  /**
   * Compares all sessions with placement; cheap enough for ten calls a second.
   */
  sync(): void {
    const { directory, placement } = this.options;
    const live = new Set<string>();
    for (const backend of directory.list()) {
      const { vm, session } = backend;
      if (vm.state !== "live" || session?.takesWork !== true) continue;
      live.add(vm.name);
      this.updatePlacement(backend);
    }
    for (const name of this.publishedRunners.keys()) {
      if (live.has(name)) continue;
      this.publishedRunners.delete(name);
      placement.removeRunner(name);
    }
  }

  private updatePlacement({ vm, session }: Backend): void {
    const { placement, configuration, slots } = this.options;
    const { name: runner, dataCentre, group = "" } = vm;
    const groups = configuration()?.groups ?? [];
    const pool = poolOfGroup(groups.find(({ name }) => name === group));
    const published = this.publishedRunners.get(runner) ?? {
      summary: "",
      load: undefined,
    };
    this.publishedRunners.set(runner, published);
    const summary = `${group} ${pool} ${dataCentre}`;
    if (published.summary !== summary) {
      published.summary = summary;
      const pools = [pool];
      const adapters: readonly string[] = [];
      const description = { runner, group, dataCentre, pools, adapters, slots };
      placement.setRunner(description);
    }
    if (session?.load === undefined || published.load === session.load) return;
    published.load = session.load;
    placement.onReport(runner, session.load);
  }
}
