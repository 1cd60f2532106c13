/**
 * Settings of one daemon: a JSON file with comments, validated by a schema. A
 * wrong or unknown field prevents the start, with an error that names the file,
 * the path and the expected value, because nobody can log in later to notice a
 * mistyped name.
 */
import * as z from "zod";
import { DEFAULT_WINDOW_SETTINGS } from "../internal.js";
import {
  descriptors,
  memoryMb,
  openRequestsPerConnection,
  peerInputShare,
  requestMemoryShare,
} from "../intake/settings.js";
import { parseSettingsText, readSettingsText } from "./settings-file.js";

const MIB = 1024 * 1024;

const port = z.int().min(0).max(65_535);

const listen = z
  .strictObject({
    host: z.string().default("127.0.0.1"),
    port: port
      .default(0)
      .describe("0 lets the operating system choose a port."),
  })
  .readonly();

const transport = z
  .strictObject({
    certificateFile: z
      .string()
      .optional()
      .describe("PEM files for mutual authentication between the daemons."),
    keyFile: z.string().optional(),
    authorityFile: z.string().optional(),
    allowPlaintext: z
      .boolean()
      .default(false)
      .describe("Allows plaintext on addresses other than loopback."),
  })
  .readonly();

const platform = z
  .strictObject({
    log: z.url(),
    vmList: z.url(),
    weightStore: z.url().optional(),
  })
  .readonly();

const common = {
  name: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1).default("default"),
  peers: listen.prefault({}),
  operators: listen.prefault({}),
  platform,
  transport: transport.prefault({}),
  memoryMb,
  descriptors,
  peerInputShare,
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
  graceMs: z
    .int()
    .min(0)
    .default(30_000)
    .describe(
      "Longest wait for running work after a stop was asked for, in ms.",
    ),
};

const callerLimits = z
  .strictObject({
    headBytes: z.int().min(1024).default(16_384),
    bodyBytes: z
      .int()
      .min(1024)
      .default(4 * MIB),
    receiveMs: z
      .int()
      .min(100)
      .default(10_000)
      .describe("Longest time for a caller to send its whole request, in ms."),
    writeStallMs: z
      .int()
      .min(100)
      .default(30_000)
      .describe("Longest time a caller may leave its answer unread, in ms."),
    keepAliveMs: z
      .int()
      .min(100)
      .default(10_000)
      .describe(
        "Time between comment lines on a stream without tokens, in ms.",
      ),
    connections: z.int().min(1).default(20_000),
    answerBytes: z
      .int()
      .min(1024)
      .default(16 * MIB)
      .describe("Largest answer held back until it is complete, in bytes."),
    requestMemoryShare,
    openRequestsPerConnection,
  })
  .readonly();

const placement = z
  .strictObject({
    slots: z
      .int()
      .min(1)
      .default(170)
      .describe("Requests that a backend server works on at once."),
    queueShare: z
      .number()
      .min(0)
      .default(0.5)
      .describe(
        "Requests that an agent takes beyond its slots, as a share of the slots.",
      ),
    stepMs: z
      .number()
      .positive()
      .default(5)
      .describe("Duration of one engine step, ms."),
    prefillMsPerToken: z
      .number()
      .min(0)
      .default(0.05)
      .describe("Time to compute one token of a prompt, ms."),
    blockTokens: z
      .int()
      .min(1)
      .default(64)
      .describe("Tokens of one block of the engines' prefix cache."),
    adapterLoadMs: z
      .number()
      .min(0)
      .default(500)
      .describe("Time that an engine needs to load an adapter, ms."),
    farMs: z
      .number()
      .min(0)
      .default(1)
      .describe("Round-trip time to another data centre, ms."),
  })
  .readonly();

const entrySettings = z
  .strictObject({
    role: z.literal("entry"),
    ...common,
    callers: listen.prefault({}),
    limits: callerLimits.prefault({}),
    claims: z
      .strictObject({
        /** This entry's share of the log's append rate. */
        appendsPerSecond: z.int().min(1).default(50),
      })
      .readonly()
      .prefault({}),
    placement: placement.prefault({}),
  })
  .readonly();

const runner = z
  .strictObject({
    address: z.url(),
    kind: z.enum(["model", "service"]),
    checksFencing: z
      .boolean()
      .default(false)
      .describe(
        "Whether the engine refuses an order with an old fencing token.",
      ),
    orderEffectMs: z
      .int()
      .min(0)
      .default(30_000)
      .describe(
        "Longest time an order already sent can still take effect, in ms.",
      ),
  })
  .readonly();

const agentSettings = z
  .strictObject({
    role: z.literal("agent"),
    ...common,
    group: z
      .string()
      .min(1)
      .describe("Group of backend servers that the runner belongs to."),
    ranks: z
      .array(z.int().min(0))
      .readonly()
      .default([])
      .describe("Ranks of the group that the runner hosts."),
    runner,
    limits: z
      .strictObject({
        attempts: z
          .int()
          .min(1)
          .default(256)
          .describe(
            "Maximum number of requests running at once; more are refused.",
          ),
        weightBytesPerSecond: z
          .int()
          .min(1)
          .default(200_000_000)
          .describe("This agent's share of the weight store's rate, bytes/s."),
        windowSteps: z
          .int()
          .min(10)
          .default(DEFAULT_WINDOW_SETTINGS.windowSteps)
          .describe("Engine steps in one window of the expert balance."),
        requestMemoryShare,
      })
      .readonly()
      .prefault({}),
  })
  .readonly();

export const settingsSchema = z.discriminatedUnion("role", [
  entrySettings,
  agentSettings,
]);

export type Settings = z.infer<typeof settingsSchema>;
export type EntrySettings = z.infer<typeof entrySettings>;
export type AgentSettings = z.infer<typeof agentSettings>;
export type ListenSettings = z.infer<typeof listen>;
export type TransportSettings = z.infer<typeof transport>;

/** Throws 1001 or 1002. */
export function loadSettings(file: string): Settings {
  return parseSettings(readSettingsText(file), file);
}

export function parseSettings(text: string, file: string): Settings {
  return parseSettingsText(settingsSchema, text, file);
}
