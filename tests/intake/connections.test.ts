import * as assert from "uvu/assert";
import {
  chooseToClose,
  type ConnectionUse,
} from "../../src/intake/connection-choice.js";
import { acceptedConnectionLimit } from "../../src/intake/descriptors.js";
import { describe, it } from "../support/describe.js";

interface NamedUse extends ConnectionUse {
  readonly name: string;
}

function use(name: string, fields: Partial<ConnectionUse> = {}): NamedUse {
  const base = { openRequests: 0, hasSentRequest: true, restingSinceMs: 0 };
  return { name, ...base, ...fields };
}

describe("the connection that makes room", () => {
  it("is one that has sent nothing, before one that rests longer", () => {
    // Guards against clients that hold connections without using them and so
    // push out those of ordinary callers.
    const silent = { hasSentRequest: false };
    const chosen = chooseToClose([
      use("idle", { restingSinceMs: 1 }),
      use("new", { ...silent, restingSinceMs: 9 }),
      use("silent", { ...silent, restingSinceMs: 5 }),
    ]);
    assert.is(chosen?.name, "silent");
  });

  it("is the one that has rested longest", () => {
    // Guards against closing a connection that its caller is about to reuse.
    const chosen = chooseToClose([
      use("recent", { restingSinceMs: 9 }),
      use("old", { restingSinceMs: 3 }),
    ]);
    assert.is(chosen?.name, "old");
  });

  it("is none on which a request is open", () => {
    // Guards against a request that is lost to make room for a connection.
    assert.is(chooseToClose([use("busy", { openRequests: 1 })]), undefined);
  });
});

describe("the limit of accepted connections", () => {
  it("leaves the descriptors that the process needs itself", () => {
    // Guards against connections of clients that leave none to reach runners.
    const use = { descriptors: 4100, outgoing: 360 };
    const limit = acceptedConnectionLimit(use);
    assert.ok(limit + use.outgoing < use.descriptors);
    assert.ok(limit > 3000);
  });

  it("leaves half of the descriptors for clients", () => {
    // Guards against an entry with many runners that accepts no callers.
    const use = { descriptors: 1000, outgoing: 5000 };
    assert.is(acceptedConnectionLimit(use), 500);
  });
});
