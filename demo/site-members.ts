/** The daemons of a site with their engines, services and relays. */
import type { Vm } from "../src/platform/vm-list-client.js";
import { startEngine, type EngineStandIn } from "../standins/engine.js";
import {
  startPlainService,
  type PlainServiceStandIn,
} from "../standins/plain-service.js";
import {
  startSilentRelay,
  type SilentRelay,
} from "../standins/silent-relay.js";
import type { SiteGroup } from "./site-group.js";
import {
  startDaemonProcess,
  type DaemonProcess,
  type DaemonSettings,
} from "./daemon-process.js";

/** A daemon that can be restarted under the same name. */
export class SiteDaemon {
  private constructor(
    private readonly settings: DaemonSettings,
    private current: DaemonProcess,
  ) {}

  static async create(settings: DaemonSettings): Promise<SiteDaemon> {
    return new SiteDaemon(settings, await startDaemonProcess(settings));
  }

  /** The current process. */
  get process(): DaemonProcess {
    return this.current;
  }

  get vm(): Vm {
    const { role, name, dataCentre, group } = this.settings;
    const { peers: address, operators } = this.current;
    return {
      name,
      role: role === "entry" ? "entry" : "backend",
      address,
      operators,
      dataCentre,
      state: "live",
      ...(group === undefined ? {} : { group }),
    };
  }

  /** Kills the process with SIGKILL and starts a new one. */
  async restart(): Promise<void> {
    await this.current[Symbol.asyncDispose]();
    this.current = await startDaemonProcess(this.settings);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.current[Symbol.asyncDispose]();
  }
}

export interface SiteMember extends AsyncDisposable {
  readonly daemon: SiteDaemon;
  /** The daemon's record in the VM list. */
  readonly vm: () => Vm;
}

export interface SiteRunner extends SiteMember {
  readonly engine: EngineStandIn;
  /** Relays connections from the entries to the agent. */
  readonly relay: SilentRelay;
}

export interface SiteService extends SiteMember {
  readonly service: PlainServiceStandIn;
}

export interface RunnerOptions {
  readonly stepMs: number;
  /** Address of an external engine to use instead of a simulated one. */
  readonly engineAddress: string | undefined;
  /** The lockstep group that the engine belongs to, if any. */
  readonly group: SiteGroup | undefined;
}

/** Step time of the unused simulated engine when an external one is set. */
const IDLE_STEP_MS = 1000;

export async function startRunner(
  settings: DaemonSettings,
  { stepMs, engineAddress, group }: RunnerOptions,
): Promise<SiteRunner> {
  const hasExternalEngine = engineAddress !== undefined;
  const extension = group?.addEngine(settings.name);
  const engine = await startEngine({
    stepMs: hasExternalEngine ? IDLE_STEP_MS : stepMs,
    stepsOnTimer: group === undefined,
    ...(extension === undefined ? {} : { extension }),
  });
  group?.attachEngine(settings.name, engine);
  const address = engineAddress ?? engine.address;
  const runner = { address, kind: "model" };
  const daemon = await SiteDaemon.create({ ...settings, runner });
  const relay = await startSilentRelay(() => daemon.process.peers);
  return {
    daemon,
    engine,
    relay,
    // External engines are used for measurements. The relay runs in this
    // process and would distort them, so it is bypassed.
    vm: () =>
      hasExternalEngine ? daemon.vm : { ...daemon.vm, address: relay.address },
    async [Symbol.asyncDispose]() {
      await daemon[Symbol.asyncDispose]();
      await relay[Symbol.asyncDispose]();
      await engine[Symbol.asyncDispose]();
    },
  };
}

export async function startService(
  settings: DaemonSettings,
): Promise<SiteService> {
  const service = await startPlainService();
  const runner = { address: service.address, kind: "service" };
  const daemon = await SiteDaemon.create({ ...settings, runner });
  return {
    daemon,
    service,
    vm: () => daemon.vm,
    async [Symbol.asyncDispose]() {
      await daemon[Symbol.asyncDispose]();
      await service[Symbol.asyncDispose]();
    },
  };
}

export async function startEntry(
  settings: DaemonSettings,
): Promise<SiteMember> {
  const daemon = await SiteDaemon.create(settings);
  return {
    daemon,
    vm: () => daemon.vm,
    [Symbol.asyncDispose]: () => daemon[Symbol.asyncDispose](),
  };
}
