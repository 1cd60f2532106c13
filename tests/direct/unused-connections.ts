/** Connections for tests that send no requests to runners. */
import type { RunnerConnections } from "../../src/direct/runner-connections.js";

export const unusedConnections: RunnerConnections = {
  dispatch: () => true,
  close: () => Promise.resolve(),
  abortAll: () => undefined,
  abortOpenedBefore: () => undefined,
};
