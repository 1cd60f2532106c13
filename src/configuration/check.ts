/**
 * Checks a configuration: the schema first, then the rules that tie its parts
 * together. Every problem names path, found and expected value.
 */
import { Left, Right, type Either } from "purify-ts";
import type { z } from "zod";
import { failure, type ApricotdeckError } from "../internal.js";
import { configurationSchema, type Configuration } from "./schema.js";
import type { ConfigurationProblem } from "./types.js";

const LONGEST_SHOWN_VALUE = 80;

/** Every problem; a valid configuration comes with its defaults filled in. */
export function examineConfiguration(
  content: unknown,
): Either<readonly ConfigurationProblem[], Configuration> {
  const parsed = configurationSchema.safeParse(content);
  if (!parsed.success) {
    return Left(parsed.error.issues.map((issue) => describe(issue, content)));
  }
  const problems = crossCheck(parsed.data);
  return problems.length > 0 ? Left(problems) : Right(parsed.data);
}

/** Error 1101 names the first problem and counts the others. */
export function checkConfiguration(
  content: unknown,
): Either<ApricotdeckError, Configuration> {
  return examineConfiguration(content).mapLeft(problemsToFailure);
}

export function problemsToFailure(
  problems: readonly ConfigurationProblem[],
): ApricotdeckError {
  const first = problems.at(0);
  const path = first?.path ?? "";
  const found = first?.found ?? "";
  const expected = first?.expected ?? "";
  const others = Math.max(problems.length - 1, 0);
  return failure(1101, { path, found, expected, others });
}

function describe(
  issue: z.core.$ZodIssue,
  content: unknown,
): ConfigurationProblem {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    const unknown = issue.keys.join(", ");
    const expected = "no such field";
    return { path: pathText([...path, unknown]), found: "a field", expected };
  }
  return {
    path: pathText(path),
    found: show(valueAt(content, path)),
    expected: issue.message,
  };
}

function pathText(path: readonly string[]): string {
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

function show(value: unknown): string {
  if (value === undefined) return "nothing";
  return JSON.stringify(value).slice(0, LONGEST_SHOWN_VALUE);
}

function crossCheck(configuration: Configuration): ConfigurationProblem[] {
  const { profiles, accounts, groups } = configuration;
  return [
    ...duplicates("profiles", profiles),
    ...duplicates("accounts", accounts),
    ...duplicates("groups", groups),
    ...targetsWithoutGroup(configuration),
    ...profileAccounts(configuration),
    ...defaultProfiles(configuration),
    ...sharedCredentials(configuration),
    ...expertsWithoutSlot(configuration),
  ];
}

function duplicates(
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
    return [{ path, found: show(name), expected: "a name used once" }];
  });
}

function targetsWithoutGroup(
  configuration: Configuration,
): ConfigurationProblem[] {
  const served = new Set(
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
    if (served.has(wanted)) return [];
    const path = `profiles.${index}.target.${target.kind}`;
    return [{ path, found: wanted, expected: "served by one of the groups" }];
  });
}

function profileAccounts(configuration: Configuration): ConfigurationProblem[] {
  const known = new Set(configuration.accounts.map(({ name }) => name));
  return configuration.profiles.flatMap((profile, index) =>
    (profile.accounts ?? []).flatMap((account, position) => {
      if (known.has(account)) return [];
      const path = `profiles.${index}.accounts.${position}`;
      return [
        { path, found: show(account), expected: "one of the client accounts" },
      ];
    }),
  );
}

function defaultProfiles(configuration: Configuration): ConfigurationProblem[] {
  const profiles = new Map(
    configuration.profiles.map((profile) => [profile.name, profile]),
  );
  return configuration.accounts.flatMap(({ name, defaultProfile }, index) => {
    if (defaultProfile === undefined) return [];
    const profile = profiles.get(defaultProfile);
    const open = profile?.accounts?.includes(name) ?? profile !== undefined;
    if (open) return [];
    const path = `accounts.${index}.defaultProfile`;
    const expected = "a profile that is open to the account";
    return [{ path, found: show(defaultProfile), expected }];
  });
}

/** A credential of two accounts would let one see the other's answers. */
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
    return [{ path, found: show(group.slotsPerRank), expected }];
  });
}
