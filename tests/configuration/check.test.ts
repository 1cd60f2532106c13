import * as assert from "uvu/assert";
import { checkConfiguration, contentHash } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";
import { exampleConfiguration } from "./support.js";

function problemOf(change: object): Readonly<Record<string, unknown>> {
  const checked = checkConfiguration({ ...exampleConfiguration, ...change });
  const error = checked.swap().unsafeCoerce();
  assert.is(error.number, 1101);
  return error.detail;
}

describe("checking a configuration", () => {
  it("accepts a valid one and fills in the defaults", () => {
    const checked = checkConfiguration(exampleConfiguration).unsafeCoerce();
    assert.is(checked.balance.skewWeight, 0.5);
  });

  it("names path, found and expected value", () => {
    const [profile] = exampleConfiguration.profiles;
    const detail = problemOf({ profiles: [{ ...profile, priority: 99 }] });
    assert.is(detail.path, "profiles.0.priority");
    assert.is(detail.found, "99");
    assert.match(String(detail.expected), "9");
  });

  it("names an unknown field", () => {
    const detail = problemOf({ profilez: [] });
    assert.is(detail.path, "profilez");
  });

  describe("references between its parts", () => {
    it("requires a group for every target", () => {
      const detail = problemOf({ groups: [] });
      assert.is(detail.path, "profiles.0.target.model");
      assert.is(detail.expected, "served by one of the groups");
    });

    it("requires unique names", () => {
      const [profile] = exampleConfiguration.profiles;
      const detail = problemOf({ profiles: [profile, profile] });
      assert.is(detail.path, "profiles.1.name");
    });

    it("requires a default profile that is open to the account", () => {
      const [profile] = exampleConfiguration.profiles;
      const detail = problemOf({ profiles: [{ ...profile, accounts: [] }] });
      assert.is(detail.path, "accounts.0.defaultProfile");
    });

    it("requires every credential to belong to one account", () => {
      const [account] = exampleConfiguration.accounts;
      const detail = problemOf({
        accounts: [account, { ...account, name: "second" }],
      });
      assert.is(detail.path, "accounts.1.credentialHashes.0");
    });

    it("requires a slot for every expert", () => {
      const [group] = exampleConfiguration.groups;
      const detail = problemOf({ groups: [{ ...group, experts: 1000 }] });
      assert.is(detail.path, "groups.0.slotsPerRank");
    });
  });
});

describe("the content hash", () => {
  it("does not depend on the order of the fields", () => {
    const a = contentHash({ x: 1, y: { a: [1, 2], b: 2 } });
    assert.is(a, contentHash({ y: { b: 2, a: [1, 2] }, x: 1 }));
    assert.is.not(a, contentHash({ y: { b: 2, a: [2, 1] }, x: 1 }));
  });
});
