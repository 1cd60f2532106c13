import * as assert from "uvu/assert";
import { createRandom } from "../../src/internal.js";
import { RouteTable, chooseService } from "../../src/routing/route-table.js";
import { describe, it } from "../support/describe.js";
import { createRoute, createSiteConfiguration } from "./support.js";

describe("route table", () => {
  const table = RouteTable.create(
    createSiteConfiguration({
      routes: [
        createRoute({ name: "short", pathPrefix: "/a/" }),
        createRoute({ name: "long", pathPrefix: "/a/b/" }),
        createRoute({
          name: "other",
          hostname: "other.example",
          pathPrefix: "/",
        }),
      ],
      accounts: [{ name: "one", credentials: ["k1", "k2"], priority: 3 }],
    }),
  );

  it("finds the longest path prefix of the request's host", () => {
    assert.is(table.findRoute("site.example", "/a/b/c")?.name, "long");
    assert.is(table.findRoute("site.example", "/a/c")?.name, "short");
    assert.is(table.findRoute("other.example", "/a/b/c")?.name, "other");
  });

  it("finds no route for an unknown path or host", () => {
    assert.is(table.findRoute("site.example", "/ab"), undefined);
    assert.is(table.findRoute("nobody.example", "/a/"), undefined);
  });

  it("finds an account by its credentials", () => {
    assert.is(table.findAccount("k2")?.name, "one");
    assert.is(table.findAccount("k3"), undefined);
  });

  describe("split", () => {
    it("draws services by weight", () => {
      const random = createRandom(7);
      const shares = [
        { service: "new", weight: 10 },
        { service: "old", weight: 90 },
      ];
      const drawn = Array.from({ length: 2000 }, () =>
        chooseService(shares, random),
      );
      const share = drawn.filter((name) => name === "new").length / 2000;
      assert.ok(share > 0.07 && share < 0.13, String(share));
    });

    it("never draws a service of weight 0", () => {
      const shares = [
        { service: "off", weight: 0 },
        { service: "on", weight: 1 },
      ];
      assert.is(
        chooseService(shares, () => 0),
        "on",
      );
      assert.is(
        chooseService(shares, () => 0.999),
        "on",
      );
    });
  });
});
