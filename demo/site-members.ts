/** The daemons of a site with what stands beside them. */
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

/** One daemon that can be started again under the same name. */
export class SiteDaemon {
  private constructor(
    private readonly settings: DaemonSettings,
    private current: DaemonProcess,
  ) {}

  static async create(settings: DaemonSettings): Promise<SiteDaemon> {
    return new SiteDaemon(settings, await startDaemonProcess(settings));
  }

  /** The process that runs under the name now. */
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

  /** Kills the process without warning and starts a new one. */
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
  /** As the list of VMs shows it. */
  readonly vm: () => Vm;
}

export interface SiteRunner extends SiteMember {
  readonly engine: EngineStandIn;
  /** Between the entries and the agent. */
  readonly relay: SilentRelay;
}

export interface SiteService extends SiteMember {
  readonly service: PlainServiceStandIn;
}

export interface RunnerOptions {
  readonly stepMs: number;
  /** An engine that runs elsewhere, in place of a stand-in. */
  readonly engineAddress: string | undefined;
  /** Engines that step together on an expert map. */
  readonly group: SiteGroup | undefined;
}

/** An engine that nobody calls need not step often. */
const IDLE_STEP_MS = 1000;

export async function startRunner(
  settings: DaemonSettings,
  { stepMs, engineAddress, group }: RunnerOptions,
): Promise<SiteRunner> {
  const isElsewhere = engineAddress !== undefined;
  const extension = group?.join(settings.name);
  const engine = await startEngine({
    stepMs: isElsewhere ? IDLE_STEP_MS : stepMs,
    ownSteps: group === undefined,
    ...(extension === undefined ? {} : { extension }),
  });
  group?.bind(settings.name, engine);
  const address = engineAddress ?? engine.address;
  const runner = { address, kind: "model" };
  const daemon = await SiteDaemon.create({ ...settings, runner });
  const relay = await startSilentRelay(() => daemon.process.peers);
  return {
    daemon,
    engine,
    relay,
    vm: () => ({ ...daemon.vm, address: relay.address }),
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
