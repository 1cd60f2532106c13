/**
 * Schema of the published configuration: profiles, client accounts, groups and
 * the weight of skew against the cost of moving experts. Unknown fields make a
 * publication invalid, so that a misspelled field isn't silently ignored.
 */
import * as z from "zod";

const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const SHA256_HEX = /^[0-9a-f]{64}$/;
const MAXIMUM_DEADLINE_MS = 3_600_000;
const MAXIMUM_PRIORITY = 9;

const name = z.string().regex(NAME);
const positiveInteger = z.int().min(1);

const modelTarget = z
  .strictObject({
    kind: z.literal("model"),
    model: name,
    adapter: name.optional(),
    version: name.optional(),
  })
  .readonly();

const serviceTarget = z
  .strictObject({ kind: z.literal("service"), service: name })
  .readonly();

const profile = z
  .strictObject({
    name,
    target: z.discriminatedUnion("kind", [modelTarget, serviceTarget]),
    priority: z
      .int()
      .min(0)
      .max(MAXIMUM_PRIORITY)
      .describe("0 is served first."),
    deadlineMs: z
      .int()
      .min(1)
      .max(MAXIMUM_DEADLINE_MS)
      .describe("Longest time from acceptance to the end of the answer."),
    repeatable: z
      .boolean()
      .describe("False for calls that may run at most once."),
    queue: z
      .strictObject({
        maximumTokens: positiveInteger.describe(
          "Maximum work waiting in one entry, in tokens.",
        ),
        maximumWaitMs: positiveInteger,
      })
      .readonly(),
    concurrency: positiveInteger.describe(
      "Requests of the profile running at once from one entry.",
    ),
    accounts: z
      .array(name)
      .readonly()
      .optional()
      .describe("Client accounts that may use the profile; all if absent."),
  })
  .readonly();

const account = z
  .strictObject({
    name,
    credentialHashes: z
      .array(z.string().regex(SHA256_HEX))
      .min(1)
      .readonly()
      .describe("SHA-256 of each bearer credential, in hexadecimal."),
    defaultProfile: name.optional(),
    weight: z
      .number()
      .positive()
      .default(1)
      .describe("Weight against other accounts when a resource is contended."),
    limit: z
      .strictObject({
        tokensPerSecond: z.number().positive(),
        burstTokens: z.number().positive(),
      })
      .readonly()
      .optional(),
  })
  .readonly();

const modelGroup = z
  .strictObject({
    kind: z.literal("model"),
    name,
    model: name,
    ranks: positiveInteger,
    layers: positiveInteger,
    experts: positiveInteger,
    slotsPerRank: positiveInteger.describe(
      "Expert slots of one rank in one layer.",
    ),
    bytesPerExpert: positiveInteger,
  })
  .readonly();

const serviceGroup = z
  .strictObject({ kind: z.literal("service"), name, service: name })
  .readonly();

const balance = z
  .strictObject({
    skewWeight: z
      .number()
      .min(0)
      .max(1)
      .describe(
        "Value of time saved against cost of moving: 1 weighs skew only, 0 cost only.",
      ),
  })
  .readonly();

export const configurationSchema = z
  .strictObject({
    profiles: z.array(profile).readonly(),
    accounts: z.array(account).readonly(),
    groups: z
      .array(z.discriminatedUnion("kind", [modelGroup, serviceGroup]))
      .readonly(),
    balance: balance.default({ skewWeight: 0.5 }),
  })
  .readonly();

export type Configuration = z.infer<typeof configurationSchema>;
export type Profile = z.infer<typeof profile>;
export type ClientAccount = z.infer<typeof account>;
export type BackendGroup = Configuration["groups"][number];
export type ModelGroup = z.infer<typeof modelGroup>;
