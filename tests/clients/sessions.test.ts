import * as assert from "uvu/assert";
import { describe, it } from "../support/describe.js";
import {
  LARGE_BODY_BYTES,
  createBehaviours,
  type Behaviours,
} from "./behaviours.js";
import {
  AGENT_LIMITS,
  AGENT_MEMORY_MB,
  ENTRY_LIMITS,
  ENTRY_MEMORY_MB,
  assertWithin,
} from "./bounds.js";
import { Crowd, type ClientBehaviour } from "./crowd.js";
import { callInFrames } from "./http2-client.js";
import {
  startSessionSite,
  type Addresses,
  type SessionSite,
} from "./session-site.js";

const LIMITS = { entry: ENTRY_LIMITS, agent: AGENT_LIMITS };

interface CrowdCase {
  readonly name: string;
  readonly size: number;
  readonly behaviour: (behaviours: Behaviours) => ClientBehaviour;
  /** Time that the service takes for each request, ms. */
  readonly delayMs?: number;
}

const HELD_MS = 5000;

const crowds: readonly CrowdCase[] = [
  {
    name: "a body in chunks of one byte",
    size: 1,
    behaviour: ({ chunked }) => chunked(1),
  },
  {
    name: "bodies that stop before their end",
    size: 60,
    behaviour: ({ stopped }) => stopped,
  },
  {
    name: "bodies that go on over the limit",
    size: 60,
    behaviour: ({ endless }) => endless,
  },
  {
    name: "whole bodies, which the agent holds too",
    size: 60,
    behaviour: ({ whole }) => whole(LARGE_BODY_BYTES),
  },
  {
    name: "whole bodies that the service takes long for",
    size: 60,
    delayMs: HELD_MS,
    behaviour: ({ whole }) => whole(LARGE_BODY_BYTES),
  },
  {
    name: "callers that leave when their body is sent",
    size: 60,
    delayMs: HELD_MS,
    behaviour: ({ leaving }) => leaving,
  },
  {
    name: "requests behind one that isn't answered",
    size: 8,
    delayMs: HELD_MS,
    behaviour: ({ pipelined }) => pipelined(),
  },
  {
    name: "connections on which nothing is sent",
    size: 700,
    behaviour: ({ silent }) => silent,
  },
];

async function assertInOrder(site: SessionSite): Promise<void> {
  assert.ok(await site.answersOrdinaryRequest(), "others are answered");
  assertWithin(site.entry, ENTRY_MEMORY_MB);
  assertWithin(site.agent, AGENT_MEMORY_MB);
}

describe("an entry with sessions whose callers keep to no limits", () => {
  for (const { name, size, delayMs, behaviour } of crowds) {
    // Guards against a crowd that ends the entry or the agent that gets a copy
    // of each body, or keeps other callers from being answered.
    it(`answers others during and after ${name}`, async () => {
      await using site = await startSessionSite(LIMITS, delayMs);
      const behave = behaviour(createBehaviours(site.headLinesOf("records")));
      {
        using crowd = await Crowd.create(
          site.entryAddresses.callers,
          size,
          behave,
        );
        assert.is(crowd.clients.length, size);
        await assertInOrder(site);
      }
      await assertInOrder(site);
    });
  }
});

describe("an entry with sessions whose callers keep to the limits", () => {
  const SMALL_BODY_BYTES = 16_384;
  const LARGE_BODIES = 60;

  for (const profile of ["records", "orders"] as const) {
    // Guards against bodies that the agent keeps after their runs have ended.
    it(`answers large bodies of ${profile} one after the other`, async () => {
      await using site = await startSessionSite(LIMITS);
      const { whole } = createBehaviours(site.headLinesOf(profile));
      using crowd = await Crowd.createInTurn(
        site.entryAddresses.callers,
        LARGE_BODIES,
        whole(LARGE_BODY_BYTES),
      );
      for (const { text } of crowd.clients) {
        assert.match(text, /^HTTP\/1\.1 200 /);
      }
      await assertInOrder(site);
    });
  }

  // Guards against limits that ordinary callers meet, at the entry or agent.
  it("answers many small bodies and a large one", async () => {
    await using site = await startSessionSite(LIMITS);
    const { whole } = createBehaviours(site.headLinesOf("records"));
    const { callers } = site.entryAddresses;
    using crowd = await Crowd.create(callers, 60, whole(SMALL_BODY_BYTES));
    await crowd.untilAnswered();
    using large = await Crowd.create(callers, 1, whole(LARGE_BODY_BYTES));
    await large.untilAnswered();
    for (const { text } of [...crowd.clients, ...large.clients]) {
      assert.match(text, /^HTTP\/1\.1 200 /);
    }
    await assertInOrder(site);
  });
});

const MIB = 1024 * 1024;
const MESSAGE_BYTES = Math.floor(3.9 * MIB);
const ANNOUNCED_BYTES = 4 * MIB;
const FRAME_BYTES = 8192;

interface ListenerCase extends CrowdCase {
  readonly listener: keyof Addresses;
}

const callInFramesOf = (frameBytes: number): ClientBehaviour =>
  callInFrames({
    path: "/apricotdeck.v1.Agent/Session",
    announcedBytes: ANNOUNCED_BYTES,
    sentBytes: MESSAGE_BYTES,
    frameBytes,
  });

const listenerCrowds: readonly ListenerCase[] = [
  {
    name: "a message in frames of one byte",
    listener: "peers",
    size: 1,
    behaviour: () => callInFramesOf(1),
  },
  {
    name: "messages that stop before their end",
    listener: "peers",
    size: 60,
    behaviour: () => callInFramesOf(FRAME_BYTES),
  },
  {
    name: "connections on which nothing is sent",
    listener: "peers",
    size: 700,
    behaviour: ({ silent }) => silent,
  },
  {
    name: "connections on which nothing is sent",
    listener: "operators",
    size: 700,
    behaviour: ({ silent }) => silent,
  },
  {
    name: "requests whose answers aren't read",
    listener: "operators",
    size: 8,
    behaviour: ({ pipelined }) => pipelined(),
  },
];

describe("an agent with sessions that is reached by any client", () => {
  for (const { name, listener, size, behaviour } of listenerCrowds) {
    // Guards against a crowd at a listener that isn't meant for callers.
    it(`serves its entry during ${name} at ${listener}`, async () => {
      await using site = await startSessionSite(LIMITS);
      const headLines = () => ["GET /metrics HTTP/1.1", "host: agent"];
      const behave = behaviour(createBehaviours(headLines));
      {
        using crowd = await Crowd.create(
          site.agentAddresses[listener],
          size,
          behave,
        );
        assert.is(crowd.clients.length, size);
        await assertInOrder(site);
      }
      await assertInOrder(site);
    });
  }
});
