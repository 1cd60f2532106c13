/** Published configurations of the two demo sites. */
import { createHash } from "node:crypto";
import { configurationSchema, type Configuration } from "../src/internal.js";

export const MODEL = "mixture-large";
export const MODEL_GROUP = "model-pool";
export const SERVICE_GROUP = "records";
export const SERVICE = "records";

export type SiteName = "dyfrwr" | "ben-ammar";

const ACCOUNT_COUNT = 10;
/** Model shape, the same at both sites. */
export const EXPERTS = 32;
export const LAYERS = 4;
export const BYTES_PER_EXPERT = 8192;

/** Credential of a client account of the site. */
export function credentialOf(site: SiteName, index: number): string {
  return `${site}-account-${index}-credential`;
}

export function siteConfiguration(
  site: SiteName,
  ranks: number,
): Configuration {
  const skewWeight = site === "dyfrwr" ? 0.8 : 0.2;
  return configurationSchema.parse({
    profiles: [
      modelProfile("drafting", 5, 60_000),
      modelProfile(site === "dyfrwr" ? "notices" : "alerts", 0, 20_000),
      serviceProfile("records", true),
      serviceProfile("orders", false),
    ],
    accounts: Array.from({ length: ACCOUNT_COUNT }, (_, index) => ({
      name: `account-${index}`,
      credentialHashes: [sha256(credentialOf(site, index))],
      defaultProfile: "drafting",
      weight: index < 2 ? 4 : 1,
    })),
    groups: [
      {
        kind: "model",
        name: MODEL_GROUP,
        model: MODEL,
        ranks,
        layers: LAYERS,
        experts: EXPERTS,
        // One extra slot per rank for replicas.
        slotsPerRank: Math.ceil(EXPERTS / ranks) + 1,
        bytesPerExpert: BYTES_PER_EXPERT,
      },
      { kind: "service", name: SERVICE_GROUP, service: SERVICE },
    ],
    balance: { skewWeight },
  });
}

function modelProfile(
  name: string,
  priority: number,
  deadlineMs: number,
): unknown {
  return {
    name,
    target: { kind: "model", model: MODEL },
    priority,
    deadlineMs,
    repeatable: true,
    queue: { maximumTokens: 200_000, maximumWaitMs: 10_000 },
    concurrency: 512,
  };
}

/** Reads of records are repeatable; an order must run at most once. */
function serviceProfile(name: string, repeatable: boolean): unknown {
  return {
    name,
    target: { kind: "service", service: SERVICE },
    priority: 1,
    deadlineMs: 10_000,
    repeatable,
    queue: { maximumTokens: 100_000, maximumWaitMs: 5000 },
    concurrency: 256,
  };
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
