/** Connections of runners that a test sends nothing to. */
import type { RunnerConnections } from "../../src/direct/runner-connections.js";

export const unusedConnections: RunnerConnections = {
  dispatch: () => true,
  close: () => Promise.resolve(),
  endAll: () => undefined,
  endOpenedBefore: () => undefined,
};
