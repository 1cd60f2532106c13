import * as assert from "uvu/assert";
import { answerRaw, formatEvent } from "../../standins/signing-runner.js";
import { readMessage } from "../support/complete-message.js";
import { describe, it } from "../support/describe.js";
import { EntryProcess } from "../support/entry-process.js";
import { RawConnection } from "../support/raw-connection.js";
import { pause } from "../support/wait.js";
import { EntrySite, rawRequest } from "./entry-site.js";

const GRACE_SECONDS = 8;
const TIMEOUT_MS = 9000;
const WORK_MS = 1500;
const SIGNAL_INTERVAL_MS = 300;
/** More than the socket buffers hold when the caller doesn't read. */
const LARGE_BYTES = 12_000_000;
/** Longer than an entry that shuts down takes new connections, ms. */
const SLOW_READ_MS = 4000;

describe("an entry process that shuts down", () => {
  // Guards against a second signal whose default action ends the process and
  // cuts everything that it still serves.
  for (const again of ["SIGTERM", "SIGHUP"] as const) {
    it(`finishes its requests after a further ${again}`, async () => {
      await using site = await EntrySite.createWithRunners(
        async ({ response, signatureHeaders }) => {
          response.writeHead(200, signatureHeaders);
          response.write(formatEvent(1));
          await pause(WORK_MS);
          response.end(formatEvent(2));
        },
      );
      const { address } = site.store;
      await using entry = await EntryProcess.create(address, GRACE_SECONDS);
      using caller = await RawConnection.create(entry.callers);
      caller.send(rawRequest("/live/a"));
      const hasStarted = (): boolean => caller.statuses.length > 0;
      assert.ok(await caller.until(hasStarted, TIMEOUT_MS));
      entry.signal("SIGTERM");
      await pause(SIGNAL_INTERVAL_MS);
      entry.signal(again);
      assert.is(await entry.exited(), 0);
      const { isComplete, body } = readMessage(caller.text);
      assert.is(body, formatEvent(1) + formatEvent(2));
      assert.ok(isComplete);
    });
  }

  // Guards against a connection that is closed as idle while its answer is
  // still being sent.
  for (const head of ["", `content-length: ${LARGE_BYTES}\r\n`]) {
    const framing = head === "" ? "without" : "with";
    it(`sends an answer ${framing} a length to a slow caller`, async () => {
      const body = "a".repeat(LARGE_BYTES);
      await using site = await EntrySite.createWithRunners(
        answerRaw(head, body, "end"),
      );
      const { address } = site.store;
      await using entry = await EntryProcess.create(address, GRACE_SECONDS);
      using caller = await RawConnection.create(entry.callers);
      caller.pause();
      caller.send(rawRequest("/once/a"));
      await pause(SIGNAL_INTERVAL_MS);
      entry.signal("SIGTERM");
      await pause(SLOW_READ_MS);
      caller.resume();
      assert.is(await entry.exited(), 0);
      await caller.until(() => caller.isEnded || caller.isClosed, TIMEOUT_MS);
      const { isComplete, body: received } = readMessage(caller.text);
      assert.is(received.length, LARGE_BYTES);
      assert.ok(isComplete);
    });
  }
});
