/** A group on loopback: agents, engines, weight store, log and VM list. */
import {
  createEvenMap,
  type Configuration,
  type EventFields,
  type ExpertMap,
} from "../../src/internal.js";
import { ExpertMaps } from "../../src/daemon/expert-map/expert-maps.js";
import { PeerListener } from "../../src/daemon/peer-listener.js";
import { createContext } from "../../src/daemon/process-context.js";
import {
  parseSettings,
  type AgentSettings,
} from "../../src/daemon/settings.js";
import { runTask } from "../../src/daemon/background-task.js";
import { ExpertMapsService } from "../../src/wire/generated/expertmap.js";
import { startEngine } from "../../standins/engine.js";
import {
  EngineGroup,
  defaultEngineGroupSettings,
  type StepRecord,
} from "../../standins/engine-group.js";
import {
  createEngineInterface,
  startGroupTimer,
  type EngineInterface,
} from "../../standins/engine-interface.js";
import { startLog } from "../../standins/log.js";
import { startVmList } from "../../standins/vm-list.js";
import {
  startWeightStore,
  type WeightStoreStandIn,
} from "../../standins/weight-store.js";
import { waitFor } from "../support/wait.js";

export interface GroupSiteOptions {
  readonly members: number;
  readonly bytesPerExpert: number;
  readonly storeBytesPerSecond: number;
}

export interface SiteAgent {
  readonly name: string;
  readonly maps: ExpertMaps;
  readonly events: (number: number) => readonly EventFields[];
  readonly stop: () => Promise<void>;
}

const GROUP = "pool";
const STEP_MS = 5;

export class GroupSite implements AsyncDisposable {
  readonly steps: StepRecord[] = [];
  readonly engines: EngineGroup;
  readonly interfaces = new Map<string, EngineInterface>();
  readonly agents = new Map<string, SiteAgent>();
  private readonly standIns: AsyncDisposable[] = [];
  private readonly addresses = new Map<string, string>();
  private readonly stopSteps: () => void;
  private readonly configuration: Configuration;
  private vmList = "";
  private log = "";
  private changeVmList: (names: readonly string[]) => void = () => undefined;
  store!: WeightStoreStandIn;

  private constructor(private readonly options: GroupSiteOptions) {
    const { members, bytesPerExpert } = options;
    const shape = { layers: 2, experts: 2 * members, slotsPerRank: 3 };
    this.configuration = {
      profiles: [],
      accounts: [],
      groups: [
        {
          kind: "model",
          name: GROUP,
          model: "m",
          ranks: members,
          ...shape,
          bytesPerExpert,
        },
      ],
      balance: { skewWeight: 0.5 },
    };
    this.engines = EngineGroup.create({
      ...defaultEngineGroupSettings,
      bytesPerExpert,
      stepMs: STEP_MS,
      reportDelayMs: () => 20,
      onStep: (record) => this.steps.push(record),
    });
    this.stopSteps = startGroupTimer(this.engines);
  }

  static async create(options: GroupSiteOptions): Promise<GroupSite> {
    const site = new GroupSite(options);
    await site.start();
    return site;
  }

  /** A map that differs from the initial even map in every layer. */
  otherMap(shift: number): ExpertMap {
    const [group] = this.configuration.groups;
    if (group.kind !== "model") throw new TypeError("no model group");
    const { version, shape, slots } = createEvenMap(group);
    const other = Array.from(slots, (expert) => {
      return expert < 0 ? expert : (expert + shift) % shape.experts;
    });
    return { version, shape, slots: other };
  }

  /** Starts an agent for an engine, possibly as a replacement. */
  async startAgent(name: string): Promise<void> {
    const rank = Number(name.slice(1));
    const engineAddress = this.addresses.get(name) ?? "";
    const settings = this.agentSettings(name, rank, engineAddress);
    const context = createContext(settings);
    const maps = ExpertMaps.create({
      context,
      settings,
      weightStore: this.store.address,
      configuration: () => this.configuration,
      onSteps: () => undefined,
    });
    const listener = PeerListener.create({ ...context, settings });
    listener.server.addService(ExpertMapsService, maps.service);
    const address = await listener.bind(settings.peers, settings.transport);
    this.addresses.set(`${name}-peers`, address);
    const stopping = new AbortController();
    const running = runTask({
      name: "expert-maps",
      emit: context.emit,
      signal: stopping.signal,
      run: (signal) => maps.run(signal),
    });
    const stop = async (): Promise<void> => {
      stopping.abort();
      await listener[Symbol.asyncDispose]();
      await running;
      await maps[Symbol.asyncDispose]();
    };
    const events = (number: number): readonly EventFields[] =>
      context.events
        .select({ sinceMs: 0 })
        .filter((event) => event.number === number)
        .map((event) => event.fields);
    this.agents.set(name, { name, maps, events, stop });
    this.updateVmList();
  }

  agent(name: string): SiteAgent {
    const agent = this.agents.get(name);
    if (agent === undefined) throw new TypeError(`no agent ${name}`);
    return agent;
  }

  updateVmList(): void {
    this.changeVmList([...this.agents.keys()]);
  }

  /** Steps whose ranks ran on different maps. */
  mixedSteps(): readonly string[] {
    const maps = new Map<string, string>();
    return this.steps.flatMap(({ group, step, mapHash }) => {
      const key = `${JSON.stringify(group)} ${step}`;
      const first = maps.get(key) ?? mapHash;
      maps.set(key, first);
      return first === mapHash ? [] : [key];
    });
  }

  /**
   * Waits until every member steps on this version and every agent knows it. An
   * agent learns of its engine's group only at the next read after the engine's
   * first step, and refuses proposals until then.
   */
  async settled(version: number): Promise<void> {
    await waitFor(() => {
      const agents = [...this.agents.values()];
      const recent = this.steps.slice(-2 * agents.length);
      return agents.every(
        ({ name, maps }) =>
          maps.status.version === version &&
          recent.some(
            (step) => step.member === name && step.version === version,
          ),
      );
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopSteps();
    for (const { stop } of this.agents.values()) await stop();
    for (const item of this.standIns) await item[Symbol.asyncDispose]();
  }

  private async start(): Promise<void> {
    const { bytesPerExpert, storeBytesPerSecond, members } = this.options;
    const bytesPerSecond = storeBytesPerSecond;
    this.store = await startWeightStore({ bytesPerExpert, bytesPerSecond });
    const list = await startVmList();
    const log = await startLog();
    this.standIns.push(this.store, list, log);
    this.vmList = list.address;
    this.log = log.address;
    this.changeVmList = (names) => {
      list.setVms(
        names.map((name) => ({
          name,
          role: "backend",
          address: this.addresses.get(`${name}-peers`) ?? "",
          operators: "",
          dataCentre: "dc",
          group: GROUP,
          state: "live",
        })),
      );
    };
    for (let rank = 0; rank < members; rank += 1) {
      await this.startEngine(`r${rank}`);
      await this.startAgent(`r${rank}`);
    }
  }

  private async startEngine(name: string): Promise<void> {
    this.engines.start(name);
    const engine = createEngineInterface({
      group: this.engines,
      member: name,
      checksFencing: false,
    });
    this.interfaces.set(name, engine);
    const server = await startEngine({
      stepMs: STEP_MS,
      stepsOnTimer: false,
      extension: engine.handleCall,
    });
    this.addresses.set(name, server.address);
    this.standIns.push(server);
  }

  private agentSettings(
    name: string,
    rank: number,
    address: string,
  ): AgentSettings {
    const settings = {
      role: "agent",
      name,
      dataCentre: "dc",
      platform: {
        log: this.log,
        vmList: this.vmList,
        weightStore: this.store.address,
      },
      logLevel: "error",
      group: GROUP,
      ranks: [rank],
      runner: { address, kind: "model" },
    };
    return parseSettings(JSON.stringify(settings), name) as AgentSettings;
  }
}
