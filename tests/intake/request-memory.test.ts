import * as assert from "uvu/assert";
import { RequestMemory } from "../../src/intake/request-memory.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import { neverRespond } from "../../standins/signing-runner.js";
import { EntrySite, rawRequest } from "../platform/entry-site.js";
import { describe, it } from "../support/describe.js";
import { RawConnection } from "../support/raw-connection.js";

const MIB = 1024 * 1024;
const MEMORY_BYTES = 100 * MIB;
const SHARE = 0.1;
const CAPACITY_BYTES = MEMORY_BYTES * SHARE;
const LARGEST_BODY_BYTES = 4 * MIB;

function createMemory(): RequestMemory {
  const memory = RequestMemory.create({
    memoryBytes: MEMORY_BYTES,
    share: SHARE,
    copies: 1,
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
  });
  memory.setLargestBody(LARGEST_BODY_BYTES);
  return memory;
}

describe("memory of requests", () => {
  it("takes small bodies while large ones fill it", () => {
    // Guards against clients with large bodies that keep out all others.
    const memory = createMemory();
    const large = Array.from({ length: 20 }, () => memory.open());
    const taken = large.filter((held) => {
      if (held.tryHoldBody(LARGEST_BODY_BYTES)) return true;
      held[Symbol.dispose]();
      return false;
    });
    assert.ok(taken.length > 0 && taken.length < large.length);
    const small = Array.from({ length: 50 }, () => memory.open());
    assert.ok(small.every((held) => held.tryHoldBody(1000)));
    assert.ok(memory.heldBytes < 2 * CAPACITY_BYTES);
  });

  it("takes a single body of the allowed size, however small its share", () => {
    // Guards against a limit that no request of the allowed size can pass.
    const memory = createMemory();
    const allowedBytes = 2 * CAPACITY_BYTES;
    memory.setLargestBody(allowedBytes);
    assert.ok(memory.open().tryHoldBody(allowedBytes));
  });

  it("counts a request until nothing retains its body", () => {
    // Guards against memory that is counted as free while something that can't
    // be taken back still holds it.
    const memory = createMemory();
    const held = memory.open();
    held.tryHoldBody(LARGEST_BODY_BYTES);
    const retained = held.retain();
    held[Symbol.dispose]();
    assert.ok(memory.heldBytes >= LARGEST_BODY_BYTES);
    retained[Symbol.dispose]();
    assert.is(memory.heldBytes, 0);
  });
});

describe("an entry whose callers leave", () => {
  it("holds nothing of their requests afterwards", async () => {
    // Guards against requests that stay counted, or held, once their callers
    // have left, until others are refused for them.
    await using site = await EntrySite.createWithRunners(neverRespond);
    const callers = new AbortController();
    const calls = Array.from({ length: 40 }, () =>
      site
        .call({
          path: "/often/a",
          method: "POST",
          body: "a".repeat(900),
          signal: callers.signal,
        })
        .catch(() => undefined),
    );
    const heldBytes = () => site.gauge("apricotdeck_held_request_bytes");
    await site.waitUntil(async () => (await heldBytes()) > 0);
    callers.abort();
    await Promise.all(calls);
    await site.waitUntil(async () => (await heldBytes()) === 0);
  });

  it("gives up the requests that are behind others too", async () => {
    // Guards against requests that run, and are held, until their deadline: for
    // a response that waits for an earlier one, Node.js doesn't report that its
    // connection has been closed.
    await using site = await EntrySite.createWithRunners(neverRespond);
    const [runner] = site.runners;
    const heldBytes = () => site.gauge("apricotdeck_held_request_bytes");
    using caller = await RawConnection.create(site.entry.addresses.callers);
    const request = rawRequest("/often/a", { body: "a".repeat(900) });
    caller.send(request + request);
    await site.waitUntil(() => runner.receivedRequests.length === 2);
    caller[Symbol.dispose]();
    await site.assertEventually(
      "nothing is held",
      async () => (await heldBytes()) === 0,
    );
    assert.ok(runner.receivedRequests.every(({ isAborted }) => isAborted));
  });
});

describe("requests that take no memory of their own", () => {
  it("are refused once there are too many", () => {
    // Guards against any number of requests without bodies.
    const memory = createMemory();
    const objects = Array.from({ length: 10_000 }, () => memory.open());
    const taken = objects.filter((held) => {
      if (held.tryHoldBody(0)) return true;
      held[Symbol.dispose]();
      return false;
    });
    assert.ok(taken.length < objects.length);
    assert.ok(memory.heldBytes < 2 * CAPACITY_BYTES);
  });
});
