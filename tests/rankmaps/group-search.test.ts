import * as assert from "uvu/assert";
import { decodeConfiguration } from "../../platform/configuration.js";
import { decodeRegistration } from "../../platform/register.js";
import { RankAgentProcess } from "../../src/rankmaps/agent.js";
import type { RankPort, RankState } from "../../src/rankmaps/types.js";
import { StoreEra } from "../../src/platform/store-era.js";
import type { KeyedTopic } from "../../src/platform/keyed-topic.js";
import { describe, it } from "../support/describe.js";
import { RANK_STATE } from "./rank-state.js";
import { createMalformedRecords } from "../support/malformed-records.js";
import { pause, waitFor } from "../support/wait.js";
import {
  RunnerGroups,
  readGroupNotes,
  type GroupNote,
} from "../../src/membership/runner-groups.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import { EntryLoadClient } from "../../src/loadview/entry-load-client.js";

const OWN = "127.0.0.1:9001";
const OTHER = "127.0.0.1:9002";
const FOREIGN = "127.0.0.1:9003";
const OTHER_GROUP = "127.0.0.1:9101";
/** Longer than an agent takes from its start to its first search, ms. */
const SEARCH_WAIT_MS = 1200;

const state: RankState = { ...RANK_STATE, rank: 0, size: 2, step: 0 };

const startedAtMs = undefined;
const port: RankPort = {
  observe: () => Promise.resolve(state),
  counts: () => Promise.resolve({ epoch: 1, counts: [], startedAtMs }),
  experts: () => Promise.resolve({ experts: [], startedAtMs }),
  order: () => Promise.resolve({ kind: "refused", status: 409, startedAtMs }),
};

function registrationAt(address: string): Readonly<Record<string, unknown>> {
  return {
    backend: "model",
    address,
    zone: "here",
    version: "v1",
    slots: 4,
    state: "ready",
    cold_left_ms: 0,
    sequence: 1,
  };
}

function topicOf(
  records: readonly { readonly key: string; readonly value: Buffer }[],
): KeyedTopic {
  const page = { records, unreadable: [], nextOffset: records.length, era: 0 };
  return {
    newest: () => Promise.resolve(page),
    changes: () => Promise.resolve(page),
  };
}

const CONFIGURATION = {
  version: 1,
  routes: [],
  services: [
    { name: "model", engine: { slots: 4, expert_sets: 1, experts: 2 } },
  ],
  limits: {
    max_header_bytes: 4096,
    max_body_bytes: 1000,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
};

function recordOf(
  key: string,
  value: unknown,
): { readonly key: string; readonly value: Buffer } {
  return { key, value: Buffer.from(JSON.stringify(value)) };
}

interface Search {
  readonly addresses: readonly string[];
  readonly isHolder: boolean;
  /** Records of the register in addition to those of the addresses. */
  readonly foreign?: readonly {
    readonly key: string;
    readonly value: Buffer;
  }[];
  /** Called with each address that is observed. */
  readonly onObserve: (address: string) => void;
  /** Fields of the state of each rank that differ from the others'. */
  readonly stateAt?: (address: string) => Partial<RankState>;
  readonly loadView?: string;
  readonly onGroupNote?: (value: Buffer) => void;
}

/** Ports from 9000 are in the agent's group, ports from 9100 in another. */
function portAt(
  address: string,
  { onObserve, stateAt = () => ({}) }: Search,
): RankPort {
  const group = address.includes(":91") ? "other" : state.group;
  return {
    ...port,
    observe: () => {
      onObserve(address);
      return Promise.resolve({ ...state, group, ...stateAt(address) });
    },
  };
}

function startAgent(search: Search): Promise<RankAgentProcess> {
  const { addresses, isHolder, foreign = [], loadView } = search;
  const runners = addresses.map((address, index) =>
    recordOf(`i-${index}`, registrationAt(address)),
  );
  return RankAgentProcess.create({
    settings: {
      role: "agent",
      name: "agent-1",
      dataCentre: "here",
      store: { address: "127.0.0.1:1", leastLeaseMs: 1000 },
      logLevel: "error",
      graceSeconds: 1,
      peerInputShare: 0.15,
      peerMessageBytes: 1_048_576,
      runner: OWN,
      peers: "127.0.0.1:0",
      service: "model",
      ...(loadView === undefined ? {} : { loadView }),
    },
    connectRunner: (address) => portAt(address, search),
    leaseService: {
      join: () => Promise.resolve({ generation: 1, era: 0, isHolder }),
      leave: () => Promise.resolve(),
    },
    era: StoreEra.create(),
    configuration: topicOf([recordOf("config", CONFIGURATION)]),
    configurationKey: "config",
    decodeConfiguration,
    register: topicOf([runners[0], ...foreign, ...runners.slice(1)]),
    decodeServer: decodeRegistration,
    paceNotes: { put: () => Promise.resolve() },
    groupNotes: {
      put: (_key, value) => {
        search.onGroupNote?.(value);
        return Promise.resolve();
      },
    },
  });
}

describe("an agent's search for the ranks of its group", () => {
  it("finds them among records that name no runner", async () => {
    // Another program has written into the register. If that made the search
    // fail, the agent would know no other rank: nobody would plan, and a held
    // step would have no guard that could complete its switch.
    const observed = new Set<string>();
    await using agent = await startAgent({
      addresses: [OWN, OTHER],
      foreign: createMalformedRecords(registrationAt(FOREIGN)),
      isHolder: true,
      onObserve: (address) => observed.add(address),
    });
    assert.ok(agent);
    await waitFor(() => observed.has(OTHER));
    assert.not.ok(observed.has(FOREIGN));
  });

  it("is made only by the planner", async () => {
    // If each agent searched for its group at its start, with a connection to
    // every runner of the service, agents among hundreds of runners would run
    // out of memory and be late to their first map.
    const observed = new Set<string>();
    await using agent = await startAgent({
      addresses: [OWN, OTHER],
      isHolder: false,
      onObserve: (address) => observed.add(address),
    });
    assert.ok(agent);
    await waitFor(() => observed.has(OWN));
    await pause(SEARCH_WAIT_MS);
    assert.equal([...observed], [OWN]);
  });

  it("observes runners of another group once", async () => {
    // The agent's group stays incomplete for a while, so the agent searches for
    // it repeatedly among all runners of the service.
    const observed = new Map<string, number>();
    await using agent = await startAgent({
      addresses: [OWN, OTHER, OTHER_GROUP],
      isHolder: true,
      onObserve: (address) =>
        observed.set(address, (observed.get(address) ?? 0) + 1),
    });
    assert.ok(agent);
    await waitFor(() => (observed.get(OTHER) ?? 0) > 5);
    assert.is(observed.get(OTHER_GROUP), 1);
  });
});

describe("an agent that plans for its group", () => {
  const stateAt = (address: string): Partial<RankState> =>
    address === OTHER
      ? { rank: 1, running: 5, waiting: 2 }
      : { rank: 0, running: 1, waiting: 0 };
  const findings = RecordFindings.create({
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
  });
  const plan = (
    notes: GroupNote[],
    fields: Partial<Search>,
  ): Promise<RankAgentProcess> =>
    startAgent({
      addresses: [OWN, OTHER],
      isHolder: true,
      onObserve: () => undefined,
      stateAt,
      onGroupNote: (value) => {
        const records = [{ key: `model.${state.group}`, value }];
        notes.push(...readGroupNotes(records, findings));
      },
      ...fields,
    });

  it("tells entries the loads of its runners where its note says", async () => {
    const notes: GroupNote[] = [];
    const groups = RunnerGroups.create();
    await using agent = await plan(notes, { loadView: "127.0.0.1:0" });
    assert.ok(agent);
    await waitFor(() => notes.length > 0);
    groups.apply(notes[0]);
    await using client = await EntryLoadClient.create({
      address: "127.0.0.1:0",
      now: () => performance.now(),
      random: Math.random,
      emit: ignoreEvents,
      measurements: ignoreMeasurements,
      name: "entry-1",
      groups: () => groups.planned,
      groupNamed: (name) => groups.plannedNamed(name),
      ownLoads: () => [],
    });
    await waitFor(() => client.read("model")?.runners.length === 2);
    const runners = [...(client.read("model")?.runners ?? [])];
    runners.sort((a, b) => a.running - b.running);
    assert.equal(runners, [
      { address: OWN, running: 1, waiting: 0 },
      { address: OTHER, running: 5, waiting: 2 },
    ]);
  });

  it("names no place for loads without a setting for it", async () => {
    const notes: GroupNote[] = [];
    await using agent = await plan(notes, {});
    assert.ok(agent);
    await waitFor(() => notes.length > 0);
    assert.is(notes[0].planner, undefined);
  });
});
