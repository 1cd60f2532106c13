import * as assert from "uvu/assert";
import { failure, ignoreEvents } from "../../src/internal.js";
import { GroupReporter } from "../../src/rankmaps/group-reporter.js";
import { describe, it } from "../support/describe.js";

const NOTE = {
  name: "model.one",
  service: "model",
  epoch: 1,
  addresses: ["10.0.0.1:80"],
};

function reporting(): {
  readonly reporter: GroupReporter;
  readonly written: string[];
  readonly look: (epoch: number) => Promise<void>;
  fails: boolean;
} {
  const written: string[] = [];
  const reporter = GroupReporter.create({
    emit: ignoreEvents,
    notes: {
      put: (_key, value) => {
        if (state.fails) return Promise.reject(failure(1901));
        written.push(value.toString());
        return Promise.resolve();
      },
    },
  });
  const look = async (epoch: number): Promise<void> => {
    reporter.look({ ...NOTE, epoch });
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  };
  const state = { reporter, written, look, fails: false };
  return state;
}

describe("a planner's note of its group", () => {
  it("is written once for each epoch", async () => {
    // Each look of each planner would be a call to the store otherwise.
    const { look, written } = reporting();
    await look(1);
    await look(1);
    assert.is(written.length, 1);
    await look(2);
    assert.is(written.length, 2);
  });

  it("is written after an outage of the store", async () => {
    const state = reporting();
    state.fails = true;
    await state.look(1);
    state.fails = false;
    await state.look(1);
    assert.is(state.written.length, 1);
  });

  it("is written again once the store came back from an older copy", async () => {
    const { reporter, look, written } = reporting();
    await look(1);
    reporter.forget();
    await look(1);
    assert.is(written.length, 2);
  });
});
