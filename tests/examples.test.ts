import { readFileSync } from "node:fs";
import { parse } from "jsonc-parser";
import * as assert from "uvu/assert";
import { parseSettings, loadSettings } from "../src/daemon/settings.js";
import { ApricotdeckError, checkConfiguration } from "../src/internal.js";
import { describe, it } from "./support/describe.js";

const examplesFolder = new URL("../../examples/", import.meta.url);

describe("the examples", () => {
  for (const name of ["entry", "agent"]) {
    it(`contain valid settings of an ${name}`, () => {
      const file = new URL(`${name}.jsonc`, examplesFolder).pathname;
      assert.is(loadSettings(file).role, name);
    });
  }

  it("contain a valid configuration", () => {
    const text = readFileSync(new URL("site.jsonc", examplesFolder), "utf8");
    assert.ok(checkConfiguration(parse(text)).isRight());
  });
});

describe("errors in settings", () => {
  const settings = {
    role: "entry",
    name: "entry",
    dataCentre: "lac",
    platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:2" },
  };

  const settingsErrorOf = (changes: object): string => {
    const text = JSON.stringify({ ...settings, ...changes });
    try {
      parseSettings(text, "entry.jsonc");
    } catch (error) {
      assert.instance(error, ApricotdeckError);
      return (error as ApricotdeckError).message;
    }
    return "";
  };

  it("are reported with file, path, expected and found value", () => {
    const message = settingsErrorOf({ limits: { bodyBytes: "much" } });
    assert.match(message, /1002/);
    assert.match(message, /file=entry\.jsonc, path=limits\.bodyBytes/);
    assert.match(message, /expected=.*number.*, found="much"/);
  });

  it("include unknown fields", () => {
    assert.match(settingsErrorOf({ datacenter: "lac" }), /datacenter/);
  });

  it("include syntax errors, with their line", () => {
    try {
      parseSettings('{\n"role": "entry"\n"name": 1}', "entry.jsonc");
      assert.unreachable("accepted a syntax error");
    } catch (error) {
      assert.match((error as Error).message, /line=3/);
    }
  });
});
