import { readFileSync } from "node:fs";
import { parse } from "jsonc-parser";
import * as assert from "uvu/assert";
import { parseSettings, loadSettings } from "../src/daemon/settings.js";
import { ApricotdeckError, checkConfiguration } from "../src/internal.js";
import { describe, it } from "./support/describe.js";

const examples = new URL("../../examples/", import.meta.url);

describe("the examples", () => {
  for (const name of ["entry", "agent"]) {
    it(`hold valid settings of an ${name}`, () => {
      const file = new URL(`${name}.jsonc`, examples).pathname;
      assert.is(loadSettings(file).role, name);
    });
  }

  it("hold a valid configuration", () => {
    const text = readFileSync(new URL("site.jsonc", examples), "utf8");
    assert.ok(checkConfiguration(parse(text)).isRight());
  });
});

describe("wrong settings", () => {
  const settings = {
    role: "entry",
    name: "entry",
    dataCentre: "lac",
    platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:2" },
  };

  const problemOf = (changes: object): string => {
    const text = JSON.stringify({ ...settings, ...changes });
    try {
      parseSettings(text, "entry.jsonc");
    } catch (error) {
      assert.instance(error, ApricotdeckError);
      return (error as ApricotdeckError).message;
    }
    return "";
  };

  it("name file, path, expected and found value", () => {
    const problem = problemOf({ limits: { bodyBytes: "much" } });
    assert.match(problem, /1002/);
    assert.match(problem, /file=entry\.jsonc, path=limits\.bodyBytes/);
    assert.match(problem, /expected=.*number.*, found="much"/);
  });

  it("include fields that are unknown", () => {
    assert.match(problemOf({ datacenter: "lac" }), /datacenter/);
  });

  it("name the line of a syntax error", () => {
    try {
      parseSettings('{\n"role": "entry"\n"name": 1}', "entry.jsonc");
      assert.unreachable("accepted a syntax error");
    } catch (error) {
      assert.match((error as Error).message, /line=3/);
    }
  });
});
