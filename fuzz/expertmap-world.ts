/**
 * Agents, engines, network and weight store of one group in virtual time, with
 * faults switched on and off from outside.
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
  quietSettings,
  type StepRecord,
} from "../standins/engine-group.js";

export const TICK_MS = 10;
const CALL_TIMEOUT_TICKS = 30;
const BYTES_PER_EXPERT = 100;
const SHAPE = { ranks: 3, layers: 1, experts: 4, slotsPerRank: 2 };

export interface WorldSettings {
  readonly seed: number;
  readonly safeguards: GroupAgentSettings["safeguards"];
  readonly engineHolds: boolean;
}

const readOnly: EngineCall = { kind: "read", withMap: false };

/** What happens at the moment when an agent gives a kind of order. */
export interface Trap {
  readonly member: string;
  readonly call: EngineCall["kind"];
  readonly act: "restartAgent" | "doubleAgent" | "pauseAgent" | "restartEngine";
  /** Messages are lost and delayed from then on for a while. */
  readonly lossy: boolean;
}

interface AgentProcess {
  readonly member: string;
  readonly agent: GroupAgent;
  pausedUntil: number;
  alive: boolean;
  call: number;
}

/** A map that the group could be told to use. */
export function candidateMap(choice: number): ExpertMap {
  const { version, shape, slots } = createEvenMap(SHAPE);
  const turn = (expert: number): number => (expert + choice) % SHAPE.experts;
  return { version, shape, slots: Array.from(slots).map(turn) };
}

export class World {
  now = 0;
  /** Probability that a message is lost; others may come twice or late. */
  lossUntil = 0;
  slowCallsUntil = 0;
  storeDownUntil = 0;
  readonly steps: StepRecord[] = [];
  readonly violations: string[] = [];
  /** Highest version known as committed while some engine remembered it. */
  committedVersion = 0;
  private members: GroupMember[];
  private readonly cut = new Map<string, number>();
  private readonly random: Random;
  private readonly engines: EngineGroup;
  private readonly agents = new Map<string, AgentProcess>();
  private readonly zombies: AgentProcess[] = [];
  private readonly due = new Map<number, (() => void)[]>();
  private starts = 0;
  private trap: Trap | undefined;

  private constructor(private readonly settings: WorldSettings) {
    this.random = createRandom(settings.seed);
    this.members = ["a", "b", "c"].map((member, rank) => ({
      member,
      ranks: [rank],
    }));
    this.engines = EngineGroup.create({
      ...quietSettings,
      bytesPerExpert: BYTES_PER_EXPERT,
      stepMs: TICK_MS,
      holds: settings.engineHolds,
      onStep: (record) => this.steps.push(record),
    });
  }

  static create(settings: WorldSettings): World {
    const world = new World(settings);
    for (const { member } of world.members) {
      world.engines.start(member);
      world.startAgent(member);
    }
    return world;
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

  setTrap(trap: Trap): void {
    this.trap = trap;
  }

  cutLink(from: string, to: string, until: number): void {
    this.cut.set(`${from}>${to}`, until);
  }

  pauseAgent(member: string, until: number): void {
    const process = this.agents.get(member);
    if (process !== undefined) process.pausedUntil = until;
  }

  /** A new agent; the old one may go on for a while without knowing. */
  restartAgent(member: string, oldGoesOn: boolean): void {
    const old = this.agents.get(member);
    if (old !== undefined) {
      if (oldGoesOn) this.zombies.push(old);
      else old.alive = false;
    }
    this.startAgent(member);
  }

  stallEngine(member: string, until: number): void {
    this.engines.stall(member, until);
  }

  restartEngine(member: string): void {
    this.engines.start(member);
    this.forgetWhenAllForgot();
  }

  /** Another backend server takes the rank of one that is gone for good. */
  replaceMember(index: number): void {
    const gone = this.members.at(index);
    if (gone === undefined) return;
    const process = this.agents.get(gone.member);
    if (process !== undefined) process.alive = false;
    this.agents.delete(gone.member);
    this.engines.remove(gone.member);
    const member = `${gone.member}'`;
    this.members = this.members.map((item) =>
      item === gone ? { member, ranks: item.ranks } : item,
    );
    this.engines.start(member);
    this.startAgent(member);
    for (const other of this.agents.values()) {
      other.agent.setMembers(this.members);
    }
    this.forgetWhenAllForgot();
  }

  endFaults(): void {
    this.trap = undefined;
    this.lossUntil = 0;
    this.slowCallsUntil = 0;
    this.storeDownUntil = 0;
    this.cut.clear();
    for (const zombie of this.zombies) zombie.alive = false;
    for (const process of this.agents.values()) process.pausedUntil = 0;
    for (const member of this.memberNames) this.engines.stall(member, 0);
  }

  engineStates(): readonly EngineMapState[] {
    return this.memberNames.flatMap((member) => {
      const answer = this.engines.call(member, readOnly, this.now);
      return answer === undefined ? [] : [answer.answer.state];
    });
  }

  private startAgent(member: string): void {
    this.starts += 1;
    const process: AgentProcess = {
      member,
      agent: GroupAgent.create({
        member,
        agent: `${member}#${this.starts}`,
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
      call: 0,
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

  /** With every engine's memory lost, only the recorded map is left. */
  private forgetWhenAllForgot(): void {
    const states = this.engineStates();
    if (states.every(({ group }) => group === null)) this.committedVersion = 0;
  }

  private tick(): void {
    this.now += TICK_MS;
    const tasks = this.due.get(this.now) ?? [];
    this.due.delete(this.now);
    for (const task of tasks) task();
    this.engines.advance(this.now);
    for (const process of [...this.agents.values(), ...this.zombies]) {
      this.input(process, (agent) => agent.tick(this.now));
    }
  }

  private after(ticks: number, task: () => void): void {
    const at = this.now + Math.max(1, ticks) * TICK_MS;
    const tasks = this.due.get(at);
    if (tasks === undefined) this.due.set(at, [task]);
    else tasks.push(task);
  }

  /** A paused process takes its inputs up when it goes on. */
  private input(
    process: AgentProcess,
    give: (agent: GroupAgent) => readonly MapEffect[],
  ): void {
    if (!process.alive || process.pausedUntil > this.now) return;
    for (const effect of give(process.agent)) this.carryOut(process, effect);
  }

  private whenAwake(
    process: AgentProcess,
    give: (agent: GroupAgent) => readonly MapEffect[],
  ): void {
    if (process.pausedUntil <= this.now) this.input(process, give);
    else
      this.after(10, () => {
        this.whenAwake(process, give);
      });
  }

  private carryOut(process: AgentProcess, effect: MapEffect): void {
    if (effect.kind === "send") this.transmit(process, effect);
    if (effect.kind === "engine") this.callEngine(process, effect.call);
    if (effect.kind === "fetch") this.fetchPart(process, effect);
  }

  private transmit(
    from: AgentProcess,
    { to, message }: { readonly to: string; readonly message: MapMessage },
  ): void {
    const cutUntil = this.cut.get(`${from.member}>${to}`) ?? 0;
    if (cutUntil > this.now) return;
    const faulty = this.lossUntil > this.now;
    if (faulty && this.random() < 0.4) return;
    const copies = faulty && this.random() < 0.3 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const delay = faulty ? randomBelow(this.random, 30) : 1;
      this.after(delay, () => {
        const target = this.agents.get(to);
        if (target === undefined) return;
        this.whenAwake(target, (agent) =>
          agent.receive(from.member, message, this.now),
        );
      });
    }
  }

  private callEngine(process: AgentProcess, call: EngineCall): void {
    const trapped = this.springTrap(process, call);
    const slow = trapped || this.slowCallsUntil > this.now;
    const number = (process.call += 1);
    const delay = slow ? randomBelow(this.random, 60) : 1;
    const answerLost = slow && this.random() < 0.3;
    const settle = (
      give: (agent: GroupAgent) => readonly MapEffect[],
    ): void => {
      this.whenAwake(process, (agent) => {
        if (process.call !== number) return [];
        process.call += 1;
        return give(agent);
      });
    };
    // The order takes effect even when nobody waits for its answer any more.
    this.after(delay, () => {
      const result = this.engines.call(process.member, call, this.now);
      if (answerLost || result === undefined) return;
      settle((agent) => agent.engineAnswered(result.answer, this.now));
    });
    this.after(CALL_TIMEOUT_TICKS, () => {
      settle((agent) => agent.engineFailed(this.now));
    });
  }

  private springTrap(process: AgentProcess, call: EngineCall): boolean {
    const { trap } = this;
    if (trap?.member !== process.member || trap.call !== call.kind) {
      return false;
    }
    this.trap = undefined;
    const { member, act, lossy } = trap;
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
      const down = this.storeDownUntil > this.now;
      const held = down
        ? undefined
        : this.engines.putWeight(process.member, weight, offset, length);
      this.whenAwake(process, (agent) =>
        held === undefined
          ? agent.partFailed(part, 0, this.now)
          : agent.partArrived(part, held, this.now),
      );
    });
  }
}
