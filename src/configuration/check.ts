/**
 * Validates a configuration against the schema and then checks the references
 * between its parts. Every problem names the path, the found and the expected
 * value.
 */
import { Left, Right, type Either } from "purify-ts";
import type { z } from "zod";
import { failure, type ApricotdeckError } from "../internal.js";
import { configurationSchema, type Configuration } from "./schema.js";
import type { ConfigurationProblem } from "./types.js";

const MAXIMUM_SHOWN_VALUE_CHARACTERS = 80;

/** Left: all problems. Right: the configuration with defaults filled in. */
export function validateConfiguration(
  content: unknown,
): Either<readonly ConfigurationProblem[], Configuration> {
  const parsed = configurationSchema.safeParse(content);
  if (!parsed.success) {
    return Left(parsed.error.issues.map((issue) => toProblem(issue, content)));
  }
  const problems = checkReferences(parsed.data);
  return problems.length > 0 ? Left(problems) : Right(parsed.data);
}

/** Like `validateConfiguration`, with the problems as error 1101. */
export function checkConfiguration(
  content: unknown,
): Either<ApricotdeckError, Configuration> {
  return validateConfiguration(content).mapLeft(toConfigurationError);
}

/** Error 1101 names the first problem and counts the others. */
export function toConfigurationError(
  problems: readonly ConfigurationProblem[],
): ApricotdeckError {
  const first = problems.at(0);
  const path = first?.path ?? "";
  const found = first?.found ?? "";
  const expected = first?.expected ?? "";
  const others = Math.max(problems.length - 1, 0);
  return failure(1101, { path, found, expected, others });
}

function toProblem(
  issue: z.core.$ZodIssue,
  content: unknown,
): ConfigurationProblem {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    const unknown = issue.keys.join(", ");
    const expected = "no such field";
    return { path: formatPath([...path, unknown]), found: "a field", expected };
  }
  return {
    path: formatPath(path),
    found: formatValue(valueAt(content, path)),
    expected: issue.message,
  };
}

function formatPath(path: readonly string[]): string {
  return path.length === 0 ? "(whole)" : path.join(".");
}

function valueAt(content: unknown, path: readonly string[]): unknown {
  let value: unknown = content;
  for (const key of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Readonly<Record<string, unknown>>)[key];
  }
  return value;
}

function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  return JSON.stringify(value).slice(0, MAXIMUM_SHOWN_VALUE_CHARACTERS);
}

function checkReferences(configuration: Configuration): ConfigurationProblem[] {
  const { profiles, accounts, groups } = configuration;
  return [
    ...duplicateNames("profiles", profiles),
    ...duplicateNames("accounts", accounts),
    ...duplicateNames("groups", groups),
    ...targetsWithoutGroup(configuration),
    ...unknownProfileAccounts(configuration),
    ...unavailableDefaultProfiles(configuration),
    ...sharedCredentials(configuration),
    ...expertsWithoutSlot(configuration),
  ];
}

function duplicateNames(
  list: string,
  items: readonly { readonly name: string }[],
): ConfigurationProblem[] {
  const seen = new Set<string>();
  return items.flatMap(({ name }, index) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    const path = `${list}.${index}.name`;
    return [{ path, found: formatValue(name), expected: "a name used once" }];
  });
}

function targetsWithoutGroup(
  configuration: Configuration,
): ConfigurationProblem[] {
  const targets = new Set(
    configuration.groups.map((group) =>
      group.kind === "model"
        ? `model ${group.model}`
        : `service ${group.service}`,
    ),
  );
  return configuration.profiles.flatMap(({ target }, index) => {
    const wanted =
      target.kind === "model"
        ? `model ${target.model}`
        : `service ${target.service}`;
    if (targets.has(wanted)) return [];
    const path = `profiles.${index}.target.${target.kind}`;
    return [{ path, found: wanted, expected: "served by one of the groups" }];
  });
}

function unknownProfileAccounts(
  configuration: Configuration,
): ConfigurationProblem[] {
  const known = new Set(configuration.accounts.map(({ name }) => name));
  return configuration.profiles.flatMap((profile, index) =>
    (profile.accounts ?? []).flatMap((account, position) => {
      if (known.has(account)) return [];
      const path = `profiles.${index}.accounts.${position}`;
      return [
        {
          path,
          found: formatValue(account),
          expected: "one of the client accounts",
        },
      ];
    }),
  );
}

function unavailableDefaultProfiles(
  configuration: Configuration,
): ConfigurationProblem[] {
  const profiles = new Map(
    configuration.profiles.map((profile) => [profile.name, profile]),
  );
  return configuration.accounts.flatMap(({ name, defaultProfile }, index) => {
    if (defaultProfile === undefined) return [];
    const profile = profiles.get(defaultProfile);
    const isOpen = profile?.accounts?.includes(name) ?? profile !== undefined;
    if (isOpen) return [];
    const path = `accounts.${index}.defaultProfile`;
    const expected = "a profile that is open to the account";
    return [{ path, found: formatValue(defaultProfile), expected }];
  });
}

/** Two accounts that share a credential could read each other's answers. */
function sharedCredentials(
  configuration: Configuration,
): ConfigurationProblem[] {
  const owners = new Map<string, string>();
  return configuration.accounts.flatMap(({ name, credentialHashes }, index) =>
    credentialHashes.flatMap((hash, position) => {
      const owner = owners.get(hash);
      owners.set(hash, owner ?? name);
      if (owner === undefined) return [];
      const path = `accounts.${index}.credentialHashes.${position}`;
      const found = `the credential of ${owner}`;
      return [{ path, found, expected: "a credential listed once" }];
    }),
  );
}

function expertsWithoutSlot(
  configuration: Configuration,
): ConfigurationProblem[] {
  return configuration.groups.flatMap((group, index) => {
    if (group.kind !== "model") return [];
    const slots = group.ranks * group.slotsPerRank;
    if (slots >= group.experts) return [];
    const path = `groups.${index}.slotsPerRank`;
    const expected = `ranks x slotsPerRank of at least ${group.experts}`;
    return [{ path, found: formatValue(group.slotsPerRank), expected }];
  });
}
