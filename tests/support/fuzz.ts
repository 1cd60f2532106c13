/**
 * Test cases that every fuzz target has to pass: it finds no violation in the
 * current code, and finds one when a safeguard is switched off.
 */
import * as assert from "uvu/assert";
import type { FuzzTarget } from "../../fuzz/target.js";
import { describe, it } from "./describe.js";

export interface FuzzTestSettings {
  readonly seed: number;
  readonly runs: number;
}

export function describeFuzzTarget(
  target: FuzzTarget,
  settings: FuzzTestSettings,
): void {
  const { seed, runs } = settings;
  describe(`fuzz target ${target.name}`, () => {
    it(`finds no violation in ${runs} histories of seed ${seed}`, async () => {
      const result = await target.run({ seed, runs });
      assert.equal(result.counterexample, []);
      assert.ok(result.histories >= runs);
    });

    for (const [mutation, histories] of Object.entries(target.mutations)) {
      it(`finds a violation within ${histories} histories of mutation ${mutation}`, async () => {
        const result = await target.run({ seed, runs: histories, mutation });
        assert.is(result.violations, 1);
      });
    }
  });
}
