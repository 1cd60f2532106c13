import * as assert from "uvu/assert";
import { describe, it } from "../support/describe.js";
import {
  BODY_LIMIT_BYTES,
  LARGE_BODY_BYTES,
  createBehaviours,
  type Behaviours,
} from "./behaviours.js";
import {
  ENTRY_LIMITS,
  ENTRY_MEMORY_MB,
  LARGE_ENTRY_LIMITS,
  assertWithin,
} from "./bounds.js";
import { Crowd, type ClientBehaviour } from "./crowd.js";
import {
  COUNTED_PATH,
  HELD_PATH,
  ORDINARY_BODY,
  startDirectSite,
  type DirectSite,
} from "./direct-site.js";

interface CrowdCase {
  readonly name: string;
  readonly size: number;
  readonly path?: string;
  readonly limits?: typeof ENTRY_LIMITS;
  readonly behaviour: (behaviours: Behaviours) => ClientBehaviour;
}

const crowds: readonly CrowdCase[] = [
  {
    name: "a body in chunks of one byte",
    size: 1,
    behaviour: ({ chunked }) => chunked(1),
  },
  {
    name: "bodies in chunks of one byte",
    size: 16,
    behaviour: ({ chunked }) => chunked(1),
  },
  {
    name: "bodies that stop before their end",
    size: 60,
    behaviour: ({ stopped }) => stopped,
  },
  {
    name: "whole bodies that wait for a runner",
    size: 60,
    path: HELD_PATH,
    behaviour: ({ whole }) => whole(LARGE_BODY_BYTES),
  },
  {
    name: "bodies that are announced over the limit",
    size: 60,
    behaviour: ({ announced }) => announced,
  },
  {
    name: "bodies that go on over the limit",
    size: 60,
    behaviour: ({ endless }) => endless,
  },
  {
    name: "requests behind one that isn't answered",
    size: 8,
    path: HELD_PATH,
    behaviour: ({ pipelined }) => pipelined(),
  },
  {
    name: "heads without end",
    size: 1500,
    limits: LARGE_ENTRY_LIMITS,
    behaviour: ({ unendedHead }) => unendedHead,
  },
  {
    name: "callers that leave when their body is sent",
    size: 60,
    path: HELD_PATH,
    behaviour: ({ leaving }) => leaving,
  },
  {
    name: "connections on which nothing is sent",
    size: 700,
    behaviour: ({ silent }) => silent,
  },
];

async function assertInOrder(
  site: DirectSite,
  { limits = ENTRY_LIMITS }: Pick<CrowdCase, "limits">,
): Promise<void> {
  assert.is(await site.ordinaryAnswer(), ORDINARY_BODY);
  assertWithin(site.process, ENTRY_MEMORY_MB, limits.descriptors);
}

describe("an entry whose callers keep to no limits", () => {
  for (const crowdCase of crowds) {
    const { name, size, path = COUNTED_PATH, behaviour } = crowdCase;
    // Guards against a crowd that ends the process, by its memory or its
    // descriptors, or keeps other callers from being answered.
    it(`answers others during and after ${name}`, async () => {
      const { limits = ENTRY_LIMITS } = crowdCase;
      await using site = await startDirectSite(ENTRY_MEMORY_MB, limits);
      const behave = behaviour(createBehaviours(site.headLines(path)));
      {
        using crowd = await Crowd.create(site.callers, size, behave);
        assert.is(crowd.clients.length, size);
        await assertInOrder(site, crowdCase);
      }
      await assertInOrder(site, crowdCase);
    });
  }
});

interface Control {
  readonly name: string;
  readonly size: number;
  readonly behaviour: (behaviours: Behaviours) => ClientBehaviour;
  readonly answer: string;
}

const CHUNK_BYTES = 65_536;
const SMALL_BODY_BYTES = 16_384;

const controls: readonly Control[] = [
  {
    name: "a large body in a few chunks",
    size: 1,
    behaviour: ({ chunked }) => chunked(CHUNK_BYTES),
    answer: String(Math.floor(LARGE_BODY_BYTES / CHUNK_BYTES) * CHUNK_BYTES),
  },
  {
    name: "a body of the size of the limit",
    size: 1,
    behaviour: ({ whole }) => whole(BODY_LIMIT_BYTES),
    answer: String(BODY_LIMIT_BYTES),
  },
  {
    name: "many small bodies",
    size: 60,
    behaviour: ({ whole }) => whole(SMALL_BODY_BYTES),
    answer: String(SMALL_BODY_BYTES),
  },
];

describe("an entry whose callers keep to the limits", () => {
  for (const { name, size, behaviour, answer } of controls) {
    // Guards against limits that ordinary callers meet.
    it(`answers ${name}`, async () => {
      await using site = await startDirectSite(ENTRY_MEMORY_MB, ENTRY_LIMITS);
      const behave = behaviour(createBehaviours(site.headLines(COUNTED_PATH)));
      using crowd = await Crowd.create(site.callers, size, behave);
      await crowd.untilAnswered();
      for (const { text } of crowd.clients) {
        assert.match(text, /^HTTP\/1\.1 200 /);
        assert.ok(text.endsWith(`\r\n\r\n${answer}`), text.slice(-40));
      }
      await assertInOrder(site, {});
    });
  }

  // Guards against a limit on connections that ordinary callers meet.
  it("answers on many connections that stay open", async () => {
    await using site = await startDirectSite(ENTRY_MEMORY_MB, ENTRY_LIMITS);
    const { whole } = createBehaviours(site.headLines(COUNTED_PATH));
    using crowd = await Crowd.createInTurn(site.callers, 200, whole(1));
    for (const { text, socket } of crowd.clients) {
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.not(socket.destroyed, "the connection stays open");
    }
    await assertInOrder(site, {});
  });
});
