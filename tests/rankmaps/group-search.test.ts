import * as assert from "uvu/assert";
import { decodeConfiguration } from "../../platform/configuration.js";
import { decodeRegistration } from "../../platform/register.js";
import { RankAgentProcess } from "../../src/rankmaps/agent.js";
import type { RankPort, RankState } from "../../src/rankmaps/types.js";
import { StoreEra } from "../../src/platform/store-era.js";
import type { KeyedTopic } from "../../src/platform/keyed-topic.js";
import { describe, it } from "../support/describe.js";
import { RANK_STATE } from "./rank-state.js";
import { foreignRecords } from "../support/foreign-records.js";
import { waitFor } from "../support/wait.js";

const OWN = "127.0.0.1:9001";
const OTHER = "127.0.0.1:9002";
const FOREIGN = "127.0.0.1:9003";

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

describe("an agent's search for the ranks of its group", () => {
  it("finds them beside entries that name no runner", async () => {
    // Another program has written into the register. With the reading lost,
    // the agent knows no other rank: nobody plans, and a held step has no
    // guard that could finish its switch.
    const asked = new Set<string>();
    const good = [OWN, OTHER].map((address, at) => ({
      key: `i-${at}`,
      value: Buffer.from(JSON.stringify(registrationAt(address))),
    }));
    const foreign = foreignRecords(registrationAt(FOREIGN));
    await using agent = await RankAgentProcess.create({
      settings: {
        role: "agent",
        name: "agent-1",
        dataCentre: "here",
        store: { address: "127.0.0.1:1", leastLeaseMs: 1000 },
        logLevel: "error",
        graceSeconds: 1,
        runner: OWN,
        peers: "127.0.0.1:0",
        service: "model",
      },
      connectRunner: (address) => {
        asked.add(address);
        return port;
      },
      seats: {
        join: () => Promise.resolve({ generation: 0, era: 0, isHolder: false }),
        leave: () => Promise.resolve(),
      },
      era: StoreEra.create(),
      configuration: topicOf([]),
      configurationKey: "config",
      decodeConfiguration,
      register: topicOf([good[0], ...foreign, good[1]]),
      decodeServer: decodeRegistration,
      paceNotes: { put: () => Promise.resolve() },
    });
    assert.ok(agent);
    await waitFor(() => asked.has(OTHER));
    assert.not.ok(asked.has(FOREIGN));
  });
});
