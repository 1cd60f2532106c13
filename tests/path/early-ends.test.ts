import type { Socket } from "node:net";
import * as assert from "uvu/assert";
import {
  credentialOf,
  MODEL_GROUP,
  SERVICE_GROUP,
  siteConfiguration,
} from "../../demo/configurations.js";
import { startSite, type Site } from "../../demo/site.js";
import { createDeferred } from "../../src/internal.js";
import { readMessage } from "../support/complete-message.js";
import { describe, it } from "../support/describe.js";
import { callHttp, type ObservedResponse } from "../support/http-call.js";
import { RawConnection } from "../support/raw-connection.js";
import { pause } from "../support/wait.js";

/** Long enough for the head and first bytes to be received before a reset. */
const RESET_DELAY_MS = 100;

/** More than an entry buffers by default. */
const LARGE_BYTES = 24 * 1024 * 1024;
/** More than the socket buffers hold, within the buffer of an entry. */
const SLOWLY_READ_BYTES = 12 * 1024 * 1024;
const SLOW_READ_MS = 1500;

const UNMARKED_ANSWER =
  "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf of";
const TRUNCATED_MARKED_ANSWERS: Readonly<Record<string, string>> = {
  "content length":
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 20\r\n\r\nhalf of",
  "content length and connection close":
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 20\r\n\r\nhalf of",
  chunks:
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nhalf of\r\n",
  "chunks and connection close":
    "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n7\r\nhalf of\r\n",
};

type EndConnection = (socket: Socket) => void;

const closeNormally: EndConnection = (socket) => {
  socket.end();
};

const resetAfterDelay: EndConnection = (socket) => {
  setTimeout(() => {
    socket.resetAndDestroy();
  }, RESET_DELAY_MS);
};

function answerWith(
  text: string,
  end: EndConnection,
): (socket: Socket) => void {
  return (socket) => {
    socket.write(text);
    end(socket);
  };
}

async function startServiceSite(): Promise<Site> {
  const site = await startSite({
    dataCentres: ["caerdydd"],
    entriesPerDataCentre: 1,
    runners: 0,
    services: 1,
    stepMs: 2,
    modelGroup: MODEL_GROUP,
    serviceGroup: SERVICE_GROUP,
  });
  await site.publish(siteConfiguration("dyfrwr", 1));
  await site.waitUntilReady();
  return site;
}

/** The profile isn't repeatable, so no second attempt hides the first. */
function sendNonRepeatableRequest(
  site: Site,
  onFirstChunk?: () => void,
): Promise<ObservedResponse> {
  return callHttp({
    address: site.entries[0].daemon.process.callers,
    path: "/services/records/valves/7",
    headers: {
      authorization: `Bearer ${credentialOf("dyfrwr", 1)}`,
      "apricotdeck-profile": "orders",
    },
    onFirstChunk,
  });
}

describe("an answer that ends early", () => {
  // Guards against an answer whose end only the close of its connection tells,
  // and against one that a backend server's reset ends as if it were whole.
  it("without an end mark is whole only after a regular close", async () => {
    await using site = await startServiceSite();
    const [{ service }] = site.services;
    service.faults.answerRaw = answerWith(UNMARKED_ANSWER, closeNormally);
    const closed = await sendNonRepeatableRequest(site);
    service.faults.answerRaw = answerWith(UNMARKED_ANSWER, resetAfterDelay);
    const broken = await sendNonRepeatableRequest(site);
    const { headers } = closed;
    const observed = {
      closed: {
        status: closed.status,
        body: closed.body,
        length: headers["content-length"],
        coding: headers["transfer-encoding"],
        outcome: headers["apricotdeck-outcome"],
      },
      broken: {
        status: broken.status,
        outcome: broken.headers["apricotdeck-outcome"],
      },
    };
    assert.equal(observed, {
      closed: {
        status: 200,
        body: "half of",
        length: "7",
        coding: undefined,
        outcome: "unmarked",
      },
      broken: { status: 502, outcome: "broken-off" },
    });
  });

  // The answer exceeds the entry's buffer, so its first part is sent before its
  // end is known. It must get its last chunk after a regular close of the
  // backend server's connection, and none after a reset.
  it("keeps its kind of end when it exceeds the buffer limit", async () => {
    await using site = await startServiceSite();
    const [{ service }] = site.services;
    for (const end of [closeNormally, resetAfterDelay]) {
      const text = UNMARKED_ANSWER + "a".repeat(LARGE_BYTES);
      const firstPart = createDeferred<undefined>();
      service.faults.answerRaw = (socket) => {
        socket.write(text);
        // A reset discards data that the caller hasn't received yet.
        void firstPart.promise.then(() => {
          end(socket);
        });
      };
      const { status, headers, body, connectionError } =
        await sendNonRepeatableRequest(site, () => {
          firstPart.resolve(undefined);
        });
      assert.is(status, 200);
      assert.is(headers["transfer-encoding"], "chunked");
      assert.is(headers["content-length"], undefined);
      if (end === resetAfterDelay) assert.is(connectionError, "ECONNRESET");
      else {
        assert.is(connectionError, undefined);
        assert.is(body.length, "half of".length + LARGE_BYTES);
      }
    }
  });

  // The answer's framing tells where it ends, and the connection ends before
  // that. The caller must get a 502 "broken-off", not the truncated answer.
  it("before its marked end is a failure, whether closed or reset", async () => {
    await using site = await startServiceSite();
    const [{ service }] = site.services;
    for (const [mark, text] of Object.entries(TRUNCATED_MARKED_ANSWERS)) {
      for (const end of [closeNormally, resetAfterDelay]) {
        service.faults.answerRaw = answerWith(text, end);
        const { status, headers } = await sendNonRepeatableRequest(site);
        const outcome = headers["apricotdeck-outcome"];
        const label = `${mark}, ${end === resetAfterDelay ? "reset" : "closed"}`;
        assert.equal([status, outcome], [502, "broken-off"], label);
      }
    }
  });
});

// Guards against an entry that shuts down once all requests have ended, while
// callers that read slowly are still being sent their answers.
describe("an answer to a slow caller of an entry that shuts down", () => {
  it("is sent to its end", async () => {
    await using site = await startServiceSite();
    const [{ service }] = site.services;
    const [{ daemon }] = site.entries;
    service.faults.answerRaw = answerWith(
      UNMARKED_ANSWER + "a".repeat(SLOWLY_READ_BYTES),
      closeNormally,
    );
    using caller = await RawConnection.create(daemon.process.callers);
    caller.pause();
    const lines = [
      "GET /services/records/valves/7 HTTP/1.1",
      "host: entry",
      `authorization: Bearer ${credentialOf("dyfrwr", 1)}`,
      "apricotdeck-profile: orders",
    ];
    caller.send(`${lines.join("\r\n")}\r\n\r\n`);
    await pause(SLOW_READ_MS);
    daemon.process.kill("SIGTERM");
    await pause(SLOW_READ_MS);
    daemon.process.kill("SIGTERM");
    caller.resume();
    assert.is(await daemon.process.exited, 0);
    await caller.until(() => caller.isEnded || caller.isClosed, SLOW_READ_MS);
    const { isComplete, body } = readMessage(caller.text);
    assert.is(body.length, "half of".length + SLOWLY_READ_BYTES);
    assert.ok(isComplete);
  });
});
