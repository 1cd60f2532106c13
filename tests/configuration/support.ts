/** Builds a valid configuration and records of the configuration stream. */
import {
  encodeEnvelope,
  type Checkpoint,
  type LogRecord,
  type Publication,
} from "../../src/internal.js";

export const exampleConfiguration = {
  profiles: [
    {
      name: "crew-drafting",
      target: { kind: "model", model: "drafting" },
      priority: 2,
      deadlineMs: 30_000,
      repeatable: true,
      queue: { maximumTokens: 100_000, maximumWaitMs: 2_000 },
      concurrency: 100,
    },
  ],
  accounts: [
    {
      name: "crews",
      credentialHashes: ["0".repeat(64)],
      defaultProfile: "crew-drafting",
    },
  ],
  groups: [
    {
      kind: "model",
      name: "drafting-1",
      model: "drafting",
      ranks: 4,
      layers: 2,
      experts: 16,
      slotsPerRank: 5,
      bytesPerExpert: 1024,
    },
  ],
} as const;

/** A valid configuration that differs from the others by its weight. */
export function weighted(skewWeight: number): unknown {
  return { ...exampleConfiguration, balance: { skewWeight } };
}

export function publication(change: Partial<Publication> = {}): Publication {
  return {
    kind: "publication",
    basedOn: null,
    seenThrough: 0,
    formatVersion: 1,
    nonce: "nonce",
    author: "operator",
    configuration: exampleConfiguration,
    ...change,
  };
}

export function recordAt(
  offset: number,
  envelope: Publication | Checkpoint,
  appendedAtMs = offset,
): LogRecord {
  return { offset, appendedAtMs, data: encodeEnvelope(envelope) };
}
