/** Settings of the direct path's processes: JSON with comments, validated. */
import { isDeepStrictEqual } from "node:util";
import * as z from "zod";
import {
  descriptors,
  memoryMb,
  openRequestsPerConnection,
  peerInputShare,
  peerMessageBytes,
  requestMemoryShare,
} from "../intake/settings.js";
import {
  parseSettingsText,
  readSettingsText,
} from "../daemon/settings-file.js";

const address = z
  .string()
  .regex(/^[^\s:]+:\d+$/, "host:port")
  .describe("host:port");

const store = z
  .strictObject({
    address,
    leastLeaseMs: z
      .int()
      .min(100)
      .default(1000)
      .describe("Shortest lease that the store grants a group's member, ms."),
  })
  .readonly();

const common = {
  name: z.string().min(1),
  dataCentre: z.string().min(1),
  store,
  metrics: address
    .optional()
    .describe("Address at which metrics are served; without it, none are."),
  descriptors,
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
  graceSeconds: z
    .number()
    .min(0)
    .default(8)
    .describe("Time between the request to stop and the forced end, s."),
};

const entrySettings = z
  .strictObject({
    role: z.literal("entry"),
    ...common,
    callers: address,
    readiness: address,
    memoryMb: z
      .number()
      .min(32)
      .optional()
      .describe(
        "Memory of the process, MB, of which a quarter may hold responses; without it, the heap limit counts.",
      ),
    requestMemoryShare,
    openRequestsPerConnection,
    drainMs: z
      .int()
      .min(1000)
      .default(2000)
      .describe("Time for which a leaving runner may still get work, ms."),
    coldOvershoot: z
      .number()
      .min(1)
      .optional()
      .describe(
        "Factor by which a cold runner's requests of one second may exceed its rate; 1 if left out.",
      ),
    coldTolerance: z
      .number()
      .min(0)
      .optional()
      .describe(
        "Requests of one second that a cold runner may get beyond that; 0 if left out.",
      ),
    loadView: address
      .optional()
      .describe(
        "IPv4 address and UDP port of the shared view of load; without it, there is none.",
      ),
  })
  .readonly();

const agentSettings = z
  .strictObject({
    role: z.literal("agent"),
    ...common,
    runner: address.describe("The runner beside this process."),
    peers: address.describe(
      "Address at which the group's planner calls this agent.",
    ),
    service: z.string().min(1),
    memoryMb,
    peerInputShare,
    peerMessageBytes,
    loadView: address
      .optional()
      .describe(
        "IPv4 address and UDP port at which this agent, when it plans, receives entries' loads; without it, it receives none.",
      ),
  })
  .readonly();

export const directSettingsSchema = z.discriminatedUnion("role", [
  entrySettings,
  agentSettings,
]);

export type DirectSettings = z.infer<typeof directSettingsSchema>;
export type DirectEntrySettings = z.infer<typeof entrySettings>;
export type RankAgentSettings = z.infer<typeof agentSettings>;

/** Throws 1001 or 1002. */
export function loadDirectSettings(file: string): DirectSettings {
  return parseDirectSettings(readSettingsText(file), file);
}

export function parseDirectSettings(
  text: string,
  file: string,
): DirectSettings {
  return parseSettingsText(directSettingsSchema, text, file);
}

/** Names of the fields that differ between two versions of the settings. */
export function changedFields(
  before: DirectSettings,
  after: DirectSettings,
): readonly string[] {
  const old = new Map(Object.entries(before));
  return Object.entries(after)
    .filter(([name, value]) => !isDeepStrictEqual(old.get(name), value))
    .map(([name]) => name);
}

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

export function hostPortOf(text: string): HostPort {
  const separator = text.lastIndexOf(":");
  return {
    host: text.slice(0, separator),
    port: Number(text.slice(separator + 1)),
  };
}
