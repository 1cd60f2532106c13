/**
 * Simulates the agents, engines, network and weight store of one group in
 * virtual time, with fault injection.
 */
import {
  createEvenMap,
  createRandom,
  GroupAgent,
  randomBelow,
  type EngineCall,
  type EngineMapState,
  type EventFields,
  type EventNumber,
  type ExpertMap,
  type GroupAgentSettings,
  type GroupMember,
  type MapEffect,
  type MapMessage,
  type Random,
} from "../src/internal.js";
import {
  EngineGroup,
  defaultEngineGroupSettings,
  type StepRecord,
} from "../standins/engine-group.js";

export const TICK_INTERVAL_MS = 10;
const CALL_TIMEOUT_TICKS = 30;
const BYTES_PER_EXPERT = 100;
const SHAPE = { ranks: 3, layers: 1, experts: 4, slotsPerRank: 2 };

export interface GroupSimulationSettings {
  readonly seed: number;
  readonly safeguards: GroupAgentSettings["safeguards"];
  readonly engineHolds: boolean;
}

const readCall: EngineCall = { kind: "read", withMap: false };

/** Fault triggered when an agent next makes a given kind of engine call. */
export interface CallFault {
  readonly member: string;
  readonly call: EngineCall["kind"];
  readonly act: "restartAgent" | "doubleAgent" | "pauseAgent" | "restartEngine";
  /** Whether messages are also lost and delayed for a while afterwards. */
  readonly lossy: boolean;
}

interface AgentProcess {
  readonly member: string;
  readonly agent: GroupAgent;
  pausedUntil: number;
  alive: boolean;
  callNumber: number;
}

/** One of several maps that can be proposed to the group. */
export function candidateMap(choice: number): ExpertMap {
  const { version, shape, slots } = createEvenMap(SHAPE);
  const turn = (expert: number): number => (expert + choice) % SHAPE.experts;
  return { version, shape, slots: Array.from(slots).map(turn) };
}

export class GroupSimulation {
  now = 0;
  /** Until this time messages may be lost, duplicated or delayed. */
  lossUntil = 0;
  slowCallsUntil = 0;
  storeDownUntil = 0;
  readonly steps: StepRecord[] = [];
  readonly violations: string[] = [];
  /** Highest committed version; reset once no engine remembers a map. */
  committedVersion = 0;
  private members: GroupMember[];
  private readonly cutLinks = new Map<string, number>();
  private readonly random: Random;
  private readonly engines: EngineGroup;
  private readonly agents = new Map<string, AgentProcess>();
  private readonly replacedAgents: AgentProcess[] = [];
  private readonly tasksByTime = new Map<number, (() => void)[]>();
  private agentStarts = 0;
  private callFault: CallFault | undefined;

  private constructor(private readonly settings: GroupSimulationSettings) {
    this.random = createRandom(settings.seed);
    this.members = ["a", "b", "c"].map((member, rank) => ({
      member,
      ranks: [rank],
    }));
    this.engines = EngineGroup.create({
      ...defaultEngineGroupSettings,
      bytesPerExpert: BYTES_PER_EXPERT,
      stepMs: TICK_INTERVAL_MS,
      enforcesHolds: settings.engineHolds,
      onStep: (record) => this.steps.push(record),
    });
  }

  static create(settings: GroupSimulationSettings): GroupSimulation {
    const simulation = new GroupSimulation(settings);
    for (const { member } of simulation.members) {
      simulation.engines.start(member);
      simulation.startAgent(member);
    }
    return simulation;
  }

  get memberNames(): readonly string[] {
    return this.members.map(({ member }) => member);
  }

  run(ticks: number): void {
    for (let index = 0; index < ticks; index += 1) this.tick();
  }

  propose(member: string, map: ExpertMap): void {
    const process = this.agents.get(member);
    if (process === undefined || process.pausedUntil > this.now) return;
    process.agent.proposeMap(map, this.now + 1_500, this.now);
  }

  setCallFault(callFault: CallFault): void {
    this.callFault = callFault;
  }

  cutLink(from: string, to: string, until: number): void {
    this.cutLinks.set(`${from}>${to}`, until);
  }

  pauseAgent(member: string, until: number): void {
    const process = this.agents.get(member);
    if (process !== undefined) process.pausedUntil = until;
  }

  /** Starts a new agent; the old one may keep running until the faults end. */
  restartAgent(member: string, oldGoesOn: boolean): void {
    const old = this.agents.get(member);
    if (old !== undefined) {
      if (oldGoesOn) this.replacedAgents.push(old);
      else old.alive = false;
    }
    this.startAgent(member);
  }

  stallEngine(member: string, until: number): void {
    this.engines.stall(member, until);
  }

  restartEngine(member: string): void {
    this.engines.start(member);
    this.resetCommittedVersion();
  }

  /** Replaces a member by a new backend server with the same rank. */
  replaceMember(index: number): void {
    const replaced = this.members.at(index);
    if (replaced === undefined) return;
    const process = this.agents.get(replaced.member);
    if (process !== undefined) process.alive = false;
    this.agents.delete(replaced.member);
    this.engines.remove(replaced.member);
    const member = `${replaced.member}'`;
    this.members = this.members.map((item) =>
      item === replaced ? { member, ranks: item.ranks } : item,
    );
    this.engines.start(member);
    this.startAgent(member);
    for (const other of this.agents.values()) {
      other.agent.setMembers(this.members);
    }
    this.resetCommittedVersion();
  }

  endFaults(): void {
    this.callFault = undefined;
    this.lossUntil = 0;
    this.slowCallsUntil = 0;
    this.storeDownUntil = 0;
    this.cutLinks.clear();
    for (const agent of this.replacedAgents) agent.alive = false;
    for (const process of this.agents.values()) process.pausedUntil = 0;
    for (const member of this.memberNames) this.engines.stall(member, 0);
  }

  engineStates(): readonly EngineMapState[] {
    return this.memberNames.flatMap((member) => {
      const answer = this.engines.call(member, readCall, this.now);
      return answer === undefined ? [] : [answer.answer.state];
    });
  }

  private startAgent(member: string): void {
    this.agentStarts += 1;
    const process: AgentProcess = {
      member,
      agent: GroupAgent.create({
        member,
        agent: `${member}#${this.agentStarts}`,
        initial: { version: 1, map: candidateMap(0) },
        fetch: {
          bytesPerExpert: BYTES_PER_EXPERT,
          bytesPerSecond: 10_000,
          partBytes: 50,
        },
        emit: (number, fields) => {
          this.observeEvent(number, fields);
        },
        random: this.random,
        idleReadMs: 50,
        safeguards: this.settings.safeguards,
      }),
      pausedUntil: 0,
      alive: true,
      callNumber: 0,
    };
    process.agent.setMembers(this.members);
    this.agents.set(member, process);
  }

  private observeEvent(number: EventNumber, fields?: EventFields): void {
    if (number === 104) {
      this.violations.push(
        `${String(fields?.rule)}: ${String(fields?.detail)}`,
      );
    }
    if (number === 162 && fields?.outcome === "committed") {
      const version = Number(fields.version);
      this.committedVersion = Math.max(this.committedVersion, version);
    }
  }

  /**
   * Once no engine remembers a map, the group may restart from the initial one.
   */
  private resetCommittedVersion(): void {
    const states = this.engineStates();
    if (states.every(({ group }) => group === null)) this.committedVersion = 0;
  }

  private tick(): void {
    this.now += TICK_INTERVAL_MS;
    const tasks = this.tasksByTime.get(this.now) ?? [];
    this.tasksByTime.delete(this.now);
    for (const task of tasks) task();
    this.engines.advance(this.now);
    for (const process of [...this.agents.values(), ...this.replacedAgents]) {
      this.runAgent(process, (agent) => agent.tick(this.now));
    }
  }

  private after(ticks: number, task: () => void): void {
    const at = this.now + Math.max(1, ticks) * TICK_INTERVAL_MS;
    const tasks = this.tasksByTime.get(at);
    if (tasks === undefined) this.tasksByTime.set(at, [task]);
    else tasks.push(task);
  }

  /** Runs an agent and performs its effects, unless it is dead or paused. */
  private runAgent(
    process: AgentProcess,
    input: (agent: GroupAgent) => readonly MapEffect[],
  ): void {
    if (!process.alive || process.pausedUntil > this.now) return;
    for (const effect of input(process.agent))
      this.performEffect(process, effect);
  }

  private runAgentWhenResumed(
    process: AgentProcess,
    input: (agent: GroupAgent) => readonly MapEffect[],
  ): void {
    if (process.pausedUntil <= this.now) this.runAgent(process, input);
    else
      this.after(10, () => {
        this.runAgentWhenResumed(process, input);
      });
  }

  private performEffect(process: AgentProcess, effect: MapEffect): void {
    if (effect.kind === "send") this.transmit(process, effect);
    if (effect.kind === "engine") this.callEngine(process, effect.call);
    if (effect.kind === "fetch") this.fetchPart(process, effect);
  }

  private transmit(
    from: AgentProcess,
    { to, message }: { readonly to: string; readonly message: MapMessage },
  ): void {
    const cutUntil = this.cutLinks.get(`${from.member}>${to}`) ?? 0;
    if (cutUntil > this.now) return;
    const isFaulty = this.lossUntil > this.now;
    if (isFaulty && this.random() < 0.4) return;
    const copies = isFaulty && this.random() < 0.3 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const delay = isFaulty ? randomBelow(this.random, 30) : 1;
      this.after(delay, () => {
        const target = this.agents.get(to);
        if (target === undefined) return;
        this.runAgentWhenResumed(target, (agent) =>
          agent.receive(from.member, message, this.now),
        );
      });
    }
  }

  private callEngine(process: AgentProcess, call: EngineCall): void {
    const isTriggered = this.triggerCallFault(process, call);
    const isSlow = isTriggered || this.slowCallsUntil > this.now;
    const number = (process.callNumber += 1);
    const delay = isSlow ? randomBelow(this.random, 60) : 1;
    const isAnswerLost = isSlow && this.random() < 0.3;
    const finishCall = (
      input: (agent: GroupAgent) => readonly MapEffect[],
    ): void => {
      this.runAgentWhenResumed(process, (agent) => {
        if (process.callNumber !== number) return [];
        process.callNumber += 1;
        return input(agent);
      });
    };
    // The call takes effect even if the agent no longer waits for its answer.
    this.after(delay, () => {
      const result = this.engines.call(process.member, call, this.now);
      if (isAnswerLost || result === undefined) return;
      finishCall((agent) => agent.engineAnswered(result.answer, this.now));
    });
    this.after(CALL_TIMEOUT_TICKS, () => {
      finishCall((agent) => agent.engineFailed(this.now));
    });
  }

  private triggerCallFault(process: AgentProcess, call: EngineCall): boolean {
    const { callFault } = this;
    if (callFault?.member !== process.member || callFault.call !== call.kind) {
      return false;
    }
    this.callFault = undefined;
    const { member, act, lossy } = callFault;
    if (lossy) this.lossUntil = this.now + 800;
    if (act === "restartEngine")
      this.after(2, () => {
        this.restartEngine(member);
      });
    else if (act === "pauseAgent") this.pauseAgent(member, this.now + 500);
    else this.restartAgent(member, act === "doubleAgent");
    return true;
  }

  private fetchPart(
    process: AgentProcess,
    { part }: MapEffect & { readonly kind: "fetch" },
  ): void {
    this.after(1, () => {
      const { weight, offset, length } = part;
      const isDown = this.storeDownUntil > this.now;
      const held = isDown
        ? undefined
        : this.engines.putWeight(process.member, weight, offset, length);
      this.runAgentWhenResumed(process, (agent) =>
        held === undefined
          ? agent.partFailed(part, 0, this.now)
          : agent.partArrived(part, held, this.now),
      );
    });
  }
}
