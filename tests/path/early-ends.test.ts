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
import { describe, it } from "../support/describe.js";
import { callHttp, type SeenAnswer } from "../support/http-call.js";

/** Long enough for the head and the first bytes to be taken before a reset. */
const RESET_AFTER_MS = 100;

/** More than an entry holds back by default. */
const LARGE_BYTES = 24 * 1024 * 1024;

const UNMARKED = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf of";
const MARKED: Readonly<Record<string, string>> = {
  "a length":
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 20\r\n\r\nhalf of",
  "a length and a close":
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 20\r\n\r\nhalf of",
  chunks:
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nhalf of\r\n",
  "chunks and a close":
    "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n7\r\nhalf of\r\n",
};

type Ending = (socket: Socket) => void;

const closeInOrder: Ending = (socket) => {
  socket.end();
};

const reset: Ending = (socket) => {
  setTimeout(() => {
    socket.resetAndDestroy();
  }, RESET_AFTER_MS);
};

function answering(text: string, end: Ending): (socket: Socket) => void {
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
  await site.settled();
  return site;
}

/** An order runs once at the most, so that no second attempt hides the first. */
function order(site: Site, onFirstPart?: () => void): Promise<SeenAnswer> {
  return callHttp({
    address: site.entries[0].daemon.process.callers,
    path: "/services/records/valves/7",
    headers: {
      authorization: `Bearer ${credentialOf("dyfrwr", 1)}`,
      "apricotdeck-profile": "orders",
    },
    onFirstPart,
  });
}

describe("an answer that ends early", () => {
  // The caller gets half an answer with status 200 and a content-length that
  // fits it. A plain service answers with neither length nor chunks and its
  // process ends inside: the connection closes in good order, as such an answer
  // does when it is whole, and the agent vouches for what nobody can know. A
  // reset in its place is a failure for sure and passed for the end as well.
  it("without a mark of its end gets none from us", async () => {
    await using site = await startServiceSite();
    const [{ service }] = site.services;
    service.faults.answerRaw = answering(UNMARKED, closeInOrder);
    const closed = await order(site);
    service.faults.answerRaw = answering(UNMARKED, reset);
    const broken = await order(site);
    const { headers } = closed;
    const seen = {
      closed: {
        status: closed.status,
        body: closed.body,
        length: headers["content-length"],
        coding: headers["transfer-encoding"],
        connection: headers.connection,
        outcome: headers["apricotdeck-outcome"],
      },
      broken: {
        status: broken.status,
        outcome: broken.headers["apricotdeck-outcome"],
      },
    };
    assert.equal(seen, {
      closed: {
        status: 200,
        body: "half of",
        length: undefined,
        coding: undefined,
        connection: "close",
        outcome: "unmarked",
      },
      broken: { status: 502, outcome: "broken-off" },
    });
  });

  // The caller gets the head and a first part, then the end of its connection:
  // an orderly one where the backend server closed in order, a reset where it
  // reset. The answer is too large to hold back until its end is known.
  it("is passed on as it ends when it is too large to hold back", async () => {
    await using site = await startServiceSite();
    const [{ service }] = site.services;
    for (const end of [closeInOrder, reset]) {
      const text = UNMARKED + "a".repeat(LARGE_BYTES);
      const firstPart = createDeferred<undefined>();
      service.faults.answerRaw = (socket) => {
        socket.write(text);
        // A reset discards what the caller's side hasn't taken yet.
        void firstPart.promise.then(() => {
          end(socket);
        });
      };
      const { status, headers, body, fault } = await order(site, () => {
        firstPart.resolve(undefined);
      });
      assert.equal([status, headers.connection], [200, "close"]);
      assert.is(headers["transfer-encoding"], undefined);
      assert.is(headers["content-length"], undefined);
      if (end === reset) assert.is(fault, "ECONNRESET");
      else {
        assert.is(fault, undefined);
        assert.is(body.length, "half of".length + LARGE_BYTES);
      }
    }
  });

  // The caller gets a 502 that says "broken off", never the half. The answer
  // says itself where it ends, and its connection ends before that.
  it("before its mark is a failure, closed or reset", async () => {
    await using site = await startServiceSite();
    const [{ service }] = site.services;
    for (const [mark, text] of Object.entries(MARKED)) {
      for (const end of [closeInOrder, reset]) {
        service.faults.answerRaw = answering(text, end);
        const { status, headers } = await order(site);
        const outcome = headers["apricotdeck-outcome"];
        const how = `${mark}, ${end === reset ? "reset" : "closed"}`;
        assert.equal([status, outcome], [502, "broken-off"], how);
      }
    }
  });
});
