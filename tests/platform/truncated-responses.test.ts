import * as assert from "uvu/assert";
import { createRankPort, readSlowness } from "../../platform/runner.js";
import { createLeaseService } from "../../platform/lease-service.js";
import { StoreClient } from "../../platform/store.js";
import { queryProcess } from "../../src/cli/processes.js";
import { EngineClient } from "../../src/daemon/expert-map/engine-client.js";
import { readWeights } from "../../src/daemon/expert-map/weight-client.js";
import { RunnerClient } from "../../src/daemon/agent/runner-client.js";
import { LogClient } from "../../src/platform/log-client.js";
import { readVmList, type Vm } from "../../src/platform/vm-list-client.js";
import {
  truncations,
  startTruncatingServer,
  type Truncation,
} from "../support/truncating-server.js";
import { describe, it } from "../support/describe.js";

const COMPLETE: Truncation = {
  framing: "length",
  announcesClose: false,
  end: "close",
};
const READ_TIMEOUT_MS = 5000;
const PART_BYTES = 64;

interface Reader {
  readonly name: string;
  readonly status?: number;
  readonly body: unknown;
  /** Rejects, or resolves with undefined, when the response is truncated. */
  readonly read: (address: string) => Promise<unknown>;
}

async function withEngine(
  address: string,
  call: (client: EngineClient) => Promise<unknown>,
): Promise<unknown> {
  await using client = EngineClient.create(`http://${address}`);
  return await call(client);
}

async function withStore(
  address: string,
  call: (client: StoreClient) => Promise<unknown>,
): Promise<unknown> {
  await using client = StoreClient.create(address);
  return await call(client);
}

const weight = { rank: 0, layer: 0, expert: 0 };
const engineState = { engine: "engine-1", values: {} };
const page = { startOffset: 0, nextOffset: 10, records: [] };
const newest = { entries: [], has_more: false, end_offset: 12 };
const lease = { generation: 1, parts: [["seats", 0, 0]] };
const report = { size: 4, step: 7, mapping: 3, pace: 1.5 };

const readers: readonly Reader[] = [
  {
    name: "weight store",
    status: 206,
    body: Buffer.alloc(PART_BYTES, 1),
    read: (address) =>
      readWeights(`http://${address}`, "model", {
        weight,
        offset: 0,
        length: PART_BYTES,
      }),
  },
  {
    name: "engine, steps",
    body: { reports: [] },
    read: (address) => withEngine(address, (client) => client.steps(0)),
  },
  {
    name: "engine, bytes of weights",
    body: { heldBytes: 123_456 },
    read: (address) =>
      withEngine(address, (client) =>
        client.putWeight(weight, 0, Buffer.alloc(1)),
      ),
  },
  {
    name: "engine, orders",
    body: engineState,
    read: (address) =>
      withEngine(address, (client) => client.order({ kind: "read" }, 1000)),
  },
  {
    name: "log, read",
    body: page,
    read: (address) =>
      LogClient.create(`http://${address}`).read("stream", { from: 0 }),
  },
  {
    name: "log, append",
    body: { offset: 1234 },
    read: (address) =>
      LogClient.create(`http://${address}`).append("stream", []),
  },
  {
    name: "list of VMs",
    body: { vms: [] },
    read: (address) => readVmList(`http://${address}`),
  },
  {
    name: "store, newest",
    body: newest,
    read: (address) =>
      withStore(address, (client) =>
        client.keyedTopic("topic").newest(AbortSignal.timeout(READ_TIMEOUT_MS)),
      ),
  },
  {
    name: "store, lease",
    body: lease,
    read: (address) =>
      withStore(address, (client) =>
        createLeaseService(client).join("group", "member", 1, 1000),
      ),
  },
  {
    name: "runner, report",
    body: report,
    read: (address) => createRankPort(address).observe(),
  },
  {
    name: "runner, expert counts",
    body: { epoch: 1, counts: [1, 2, 3] },
    read: (address) => createRankPort(address).counts(),
  },
  {
    name: "runner, expert mapping",
    body: { mapping: { experts: [[1, 2], [3]] } },
    read: (address) => createRankPort(address).experts(),
  },
  { name: "runner, pace", body: report, read: readSlowness },
  {
    name: "engine, load",
    body: { running: 1, waiting: 2 },
    read: async (address) => {
      await using client = RunnerClient.create(`http://${address}`);
      return await client.getJson(
        "/load",
        AbortSignal.timeout(READ_TIMEOUT_MS),
      );
    },
  },
  {
    name: "tool, a process's status",
    body: { release: "1", leaving: false },
    read: (operators) => queryProcess({ operators } as Vm, "GET", "/status"),
  },
  {
    name: "tool, a process's metrics",
    body: Buffer.from("metric_a 1\nmetric_b 2\n"),
    read: (operators) => queryProcess({ operators } as Vm, "GET", "/metrics"),
  },
];

/**
 * Result of reading a response that ends early; undefined when the reader
 * rejects it.
 */
async function readTruncated(
  reader: Reader,
  truncation: Truncation,
  sentShare: number,
) {
  const { body: completeBody, status = 200, read } = reader;
  const body = Buffer.isBuffer(completeBody)
    ? completeBody
    : Buffer.from(JSON.stringify(completeBody));
  const sentBytes = Math.floor(body.length * sentShare);
  await using server = await startTruncatingServer({
    status,
    body,
    sentBytes,
    ...truncation,
  });
  try {
    return await read(server.address);
  } catch {
    return undefined;
  }
}

describe("a truncated response", () => {
  // A reader that takes part of a response for all of it continues with
  // truncated weights, a list without its last VMs or a status without some
  // processes. The server sends part of its response, and the connection is
  // closed or reset; without length or chunks, HTTP regards a close as a
  // regular end.
  for (const reader of readers) {
    it(`is rejected by the reader: ${reader.name}`, async () => {
      assert.not.equal(await readTruncated(reader, COMPLETE, 1), undefined);
      for (const sentShare of [0, 0.5]) {
        const results = await Promise.all(
          truncations.map((truncation) =>
            readTruncated(reader, truncation, sentShare),
          ),
        );
        assert.equal(
          results,
          truncations.map(() => undefined),
          `sent share ${sentShare}`,
        );
      }
    });
  }
});
