import * as assert from "uvu/assert";
import { paths } from "../../platform/names.js";
import { describe, it } from "../support/describe.js";
import { createBehaviours, type Behaviours } from "./behaviours.js";
import {
  AGENT_LIMITS,
  AGENT_MEMORY_MB,
  ENTRY_LIMITS,
  ENTRY_MEMORY_MB,
  assertWithin,
} from "./bounds.js";
import { Crowd, type ClientBehaviour } from "./crowd.js";
import { ORDINARY_BODY, startDirectSite, statusOf } from "./direct-site.js";
import { callInFrames } from "./http2-client.js";
import { startRankAgentSite } from "./rank-agent-site.js";

interface CrowdCase {
  readonly name: string;
  readonly size: number;
  readonly behaviour: (behaviours: Behaviours) => ClientBehaviour;
}

const crowds: readonly CrowdCase[] = [
  {
    name: "connections on which nothing is sent",
    size: 700,
    behaviour: ({ silent }) => silent,
  },
  {
    name: "requests whose answers aren't read",
    size: 8,
    behaviour: ({ pipelined }) => pipelined(),
  },
  {
    name: "bodies without end",
    size: 60,
    behaviour: ({ endless }) => endless,
  },
  {
    name: "bodies in chunks of one byte",
    size: 16,
    behaviour: ({ chunked }) => chunked(1),
  },
  {
    name: "heads without end",
    size: 400,
    behaviour: ({ unendedHead }) => unendedHead,
  },
];

const HTTP_OK = 200;

describe("an entry whose other listeners are reached by any client", () => {
  const listeners = [
    { listener: "readiness", path: paths.readiness },
    { listener: "metrics", path: "/metrics" },
  ] as const;
  for (const { listener, path } of listeners) {
    for (const { name, size, behaviour } of crowds) {
      // Guards against a crowd at a listener that isn't meant for callers, and
      // that has neither their limits nor their protection.
      it(`stays ready during ${name} at ${listener}`, async () => {
        await using site = await startDirectSite(ENTRY_MEMORY_MB, ENTRY_LIMITS);
        const headLines = () => [`GET ${path} HTTP/1.1`, "host: entry"];
        const behave = behaviour(createBehaviours(headLines));
        using crowd = await Crowd.create(site[listener], size, behave);
        assert.is(crowd.clients.length, size);
        assert.is(await site.ordinaryAnswer(), ORDINARY_BODY);
        assert.is(await site.readinessStatus(), HTTP_OK);
        assert.is(await statusOf(`http://${site.metrics}/metrics`), HTTP_OK);
        assertWithin(site.process, ENTRY_MEMORY_MB);
      });
    }
  }
});

const MIB = 1024 * 1024;
const METHOD = "/apricotdeck.v1.RankAgent/Order";
const MESSAGE_BYTES = Math.floor(3.9 * MIB);
const ANNOUNCED_BYTES = 4 * MIB;
const FRAME_BYTES = 8192;

const peerCrowds: readonly {
  readonly name: string;
  readonly size: number;
  readonly behaviour: ClientBehaviour;
}[] = [
  {
    name: "a message in frames of one byte",
    size: 1,
    behaviour: callInFrames({
      path: METHOD,
      announcedBytes: ANNOUNCED_BYTES,
      sentBytes: MESSAGE_BYTES,
      frameBytes: 1,
    }),
  },
  {
    name: "messages that stop before their end",
    size: 60,
    behaviour: callInFrames({
      path: METHOD,
      announcedBytes: ANNOUNCED_BYTES,
      sentBytes: MESSAGE_BYTES,
      frameBytes: FRAME_BYTES,
    }),
  },
  {
    name: "connections on which nothing is sent",
    size: 700,
    behaviour: () => Promise.resolve(),
  },
];

describe("an agent whose peers' listener is reached by any client", () => {
  for (const { name, size, behaviour } of peerCrowds) {
    // Guards against a crowd at the listener for other agents, which accepted
    // messages of any number up to 32 MiB each.
    it(`answers a planner during and after ${name}`, async () => {
      await using site = await startRankAgentSite(AGENT_LIMITS);
      {
        using crowd = await Crowd.create(site.peers, size, behaviour);
        assert.is(crowd.clients.length, size);
        assert.ok(await site.answersPeers(), "a planner is answered");
        assertWithin(site.process, AGENT_MEMORY_MB);
      }
      assert.ok(await site.answersPeers(), "a planner is answered afterwards");
      assertWithin(site.process, AGENT_MEMORY_MB);
    });
  }
});
