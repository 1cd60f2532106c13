import * as assert from "uvu/assert";
import { headerCodec } from "../../platform/headers.js";
import { RunnerClient } from "../../src/daemon/agent/runner-client.js";
import { Attempt, type StreamSink } from "../../src/direct/attempt.js";
import {
  connectRunner,
  type RunnerConnections,
} from "../../src/direct/runner-connections.js";
import type { AttemptEnd } from "../../src/direct/types.js";
import { toFailure } from "../../src/internal.js";
import { EntrySite } from "../platform/entry-site.js";
import { createCall } from "../support/call.js";
import {
  ATTEMPT_ID,
  CUT_PATH,
  CutHeadServer,
  cutsOf,
  heads,
  type ConnectionEnd,
  type Cut,
} from "../support/cut-head-server.js";
import { describe, it } from "../support/describe.js";
import { pause } from "../support/wait.js";

const WARM_PATH = "/once/warm";
const MAXIMUM_BUFFERED_BYTES = 1024;
const DEADLINE_MS = 3000;
/** Time after which the client library uses a connection again, ms. */
const REUSE_DELAY_MS = 2;
const ENDS: readonly ConnectionEnd[] = ["close", "reset"];

const acceptAll: StreamSink = {
  onHead: () => undefined,
  onData: () => undefined,
  onEnd: () => undefined,
};

async function attemptAt(
  connections: RunnerConnections,
  path: string,
  sink: StreamSink | undefined,
): Promise<AttemptEnd> {
  const attempt = Attempt.create({
    connections,
    request: { method: "POST", path, body: null },
    attemptId: ATTEMPT_ID,
    codec: headerCodec,
    sink,
    onAnswer: () => undefined,
    maximumBufferedBytes: MAXIMUM_BUFFERED_BYTES,
  });
  const timer = setTimeout(() => {
    attempt.giveUp("overdue");
  }, DEADLINE_MS);
  const end = await attempt.run();
  clearTimeout(timer);
  return end;
}

/** Attempts at all cuts, each on a connection of its own. */
async function endsOfAttempts(
  server: CutHeadServer,
  cuts: readonly Cut[],
  { isReused, isStream }: { isReused: boolean; isStream: boolean },
): Promise<readonly AttemptEnd[]> {
  const sink = isStream ? acceptAll : undefined;
  const ends: AttemptEnd[] = [];
  for (const cut of cuts) {
    const connections = connectRunner(server.address);
    if (isReused) {
      await attemptAt(connections, WARM_PATH, sink);
      await pause(REUSE_DELAY_MS);
    }
    server.cut = cut;
    ends.push(await attemptAt(connections, CUT_PATH, sink));
    assert.is(server.requestsOnConnection, isReused ? 2 : 1);
    connections.abortAll();
  }
  return ends;
}

function isComplete(end: AttemptEnd): boolean {
  return end.kind === "answered" || end.kind === "streamed";
}

// Guards against a head that is cut off and passes for an answer: callers would
// get a success with an empty or short body that is framed as whole.
describe("a runner whose connection ends inside an answer's head", () => {
  for (const [name, head] of Object.entries(heads)) {
    for (const end of ENDS) {
      const label = `${name}, ${end === "close" ? "closed" : "reset"}`;

      for (const isReused of [false, true]) {
        const connection = isReused ? "reused" : "new";
        it(`has no answer for the entry: ${label}, ${connection}`, async () => {
          await using server = await CutHeadServer.create();
          const cuts = cutsOf(head, end);
          for (const isStream of [false, true]) {
            const use = { isReused, isStream };
            const attempts = await endsOfAttempts(server, cuts, use);
            assert.equal(attempts.filter(isComplete), []);
          }
        });

        it(`has no answer for the agent: ${label}, ${connection}`, async () => {
          await using server = await CutHeadServer.create();
          for (const cut of cutsOf(head, end)) {
            await using client = RunnerClient.create(
              `http://${server.address}`,
              "service",
            );
            if (isReused) {
              await readByAgent(client, WARM_PATH);
              await pause(REUSE_DELAY_MS);
            }
            server.cut = cut;
            const failure = await readByAgent(client, CUT_PATH);
            assert.is(server.requestsOnConnection, isReused ? 2 : 1);
            assert.is(failure, 1216, `${cut.length} bytes`);
          }
        });
      }
    }
  }

  for (const end of ENDS) {
    for (const path of [CUT_PATH, "/live/cut", "/stream/cut"]) {
      it(`gives callers no success: ${path}, ${end}`, async () => {
        for (const [name, head] of Object.entries(heads)) {
          for (const share of [0.1, 0.5, 0.95, 1]) {
            const length = Math.floor((head.length - 1) * share);
            const sent = head.slice(0, length);
            await using site = await EntrySite.createWithRunners(
              ({ request: { socket } }) => {
                socket.write(sent);
                if (end === "close") socket.end();
                else setTimeout(() => socket.resetAndDestroy(), 5);
              },
            );
            const answer = await site.call({
              path,
              method: "POST",
              headers: { "apricotdeck-attempt-id": ATTEMPT_ID },
            });
            const isSuccess = answer.isComplete && answer.status < 300;
            assert.not.ok(isSuccess, `${name}, ${length} bytes`);
          }
        }
      });
    }
  }
});

/** Returns the error number; 0 if the answer is complete. */
async function readByAgent(
  client: RunnerClient,
  path: string,
): Promise<number> {
  const call = createCall({ path });
  const sink = { head: () => undefined, piece: () => undefined };
  const request = { run: "run", call, deadlineMs: DEADLINE_MS };
  try {
    await client.start(request, sink, AbortSignal.timeout(DEADLINE_MS));
    return 0;
  } catch (error) {
    return toFailure(error, 1215).number;
  }
}
