import * as assert from "uvu/assert";
import { headerNames } from "../../platform/names.js";
import { answerWith } from "../../standins/signing-runner.js";
import { CREDENTIAL, EntrySite, HOST } from "../platform/entry-site.js";
import { describe, it } from "../support/describe.js";
import { RawConnection } from "../support/raw-connection.js";

const DEADLINE_MS = 500;
const BODY_BYTES = 900;
const TRICKLE_INTERVAL_MS = 50;
/** Longer than the timeouts of the route and of idle connections, ms. */
const TIMEOUT_MS = 8000;
const IDLE_TIMEOUT_MS = 1000;
const HTTP_REQUEST_TIMEOUT = 408;

function startOfRequest(path: string): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    `host: ${HOST}`,
    `${headerNames.attemptId}: call`,
    `${headerNames.credential}: ${CREDENTIAL}`,
    `${headerNames.deadlineMs}: ${DEADLINE_MS}`,
    `content-length: ${BODY_BYTES}`,
  ];
  return `${lines.join("\r\n")}\r\n\r\nstart`;
}

describe("a body that doesn't end", () => {
  const routes = [
    { name: "on a route", path: "/often/a" },
    { name: "without a route", path: "/unknown/a" },
  ];
  for (const { name, path } of routes) {
    for (const trickles of [false, true]) {
      const how = trickles ? "trickles" : "stops";
      // Guards against callers that hold what was read of their bodies for as
      // long as they like. The refusal says that the request wasn't run.
      it(`${how} ${name} is refused and no longer held`, async () => {
        await using site = await EntrySite.createWithRunners(answerWith("run"));
        site.configure({
          version: 2,
          limits: {
            max_header_bytes: 4096,
            max_body_bytes: 1000,
            header_timeout_ms: 3000,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
          },
        });
        await site.waitUntil(
          async () =>
            (await site.gauge("apricotdeck_configuration_version")) === 2,
        );
        using caller = await RawConnection.create(site.entry.addresses.callers);
        caller.send(startOfRequest(path));
        const timer = setInterval(() => {
          if (trickles) caller.send("a");
        }, TRICKLE_INTERVAL_MS);
        const isRefused = (): boolean => caller.statuses.length > 0;
        await caller.until(isRefused, TIMEOUT_MS);
        clearInterval(timer);
        assert.equal(caller.statuses, [HTTP_REQUEST_TIMEOUT]);
        await site.waitUntil(
          async () =>
            (await site.gauge("apricotdeck_held_request_bytes")) === 0,
        );
        assert.is(site.runners[0]?.receivedRequests.length, 0);
      });
    }
  }
});
