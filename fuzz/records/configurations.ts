/**
 * Configuration records: every page yields its newest readable configuration.
 */
import fc from "fast-check";
import { decodeConfiguration } from "../../platform/configuration.js";
import { decodeChangesPage } from "../../platform/store-pages.js";
import { newestConfiguration } from "../../src/routing/newest-configuration.js";
import type { RecordShape, Step } from "./steps.js";
import { TopicModel, type WrittenRecord } from "./topic.js";

const KEY = "config";

export const configurationKeys = [KEY, "other"];

const route = {
  name: "r",
  hostname: "h",
  path_prefix: "/",
  route_kind: "idempotent",
  timeout_ms: 900,
  backend: "a",
};

const limits = {
  max_header_bytes: 1,
  max_body_bytes: 1,
  header_timeout_ms: 1,
  idle_timeout_ms: 1,
};

export const configurationShape: RecordShape = {
  version: {
    valid: fc.nat({ max: 9 }),
    invalid: fc.constantFrom<unknown>("1", null, {}),
  },
  routes: {
    valid: fc.constantFrom([], [route]),
    invalid: fc.constantFrom<unknown>({}, [null], [{ ...route, hostname: 1 }]),
  },
  services: {
    valid: fc.constantFrom([], [{ name: "a" }]),
    invalid: fc.constantFrom<unknown>(null, [{}], [{ name: "a", engine: 1 }]),
  },
  limits: {
    valid: fc.constant(limits),
    invalid: fc.constantFrom<unknown>(
      [],
      { ...limits, idle_timeout_ms: "1" },
      { ...limits, idle_timeout_ms: -1 },
    ),
  },
};

export function checkConfigurations(steps: readonly Step[]): readonly string[] {
  const topic = TopicModel.create(configurationKeys);
  const violations: string[] = [];
  let offset = 0;
  const read = (extraBytes: number): void => {
    const written = topic.history.slice(offset);
    const page = decodeChangesPage(topic.page(offset, extraBytes));
    offset += page.length;
    const found = newestConfiguration(page.records, {
      key: KEY,
      decode: decodeConfiguration,
      onUnreadable: () => undefined,
    });
    const expected = expectedVersion(written);
    if (found?.version === expected) return;
    violations.push(
      `configuration: version ${String(found?.version)}, expected ${String(expected)}`,
    );
  };
  for (const step of steps) {
    if (step.kind === "page") read(step.extraBytes);
    else topic.write(step);
  }
  read(0);
  return violations;
}

/** Version of the newest record that is readable. */
function expectedVersion(
  written: readonly WrittenRecord[],
): number | undefined {
  for (const record of [...written].reverse()) {
    const { key, value } = record;
    if (key !== KEY || value === undefined) continue;
    const version = isInvalid(record) ? undefined : readVersion(value);
    if (version !== undefined) return version;
  }
  return undefined;
}

function isInvalid({ step }: WrittenRecord): boolean {
  return step.kind === "mutated" || step.kind === "bytes";
}

/**
 * For records whose validity the model doesn't know, the decoder decides; one
 * for which it throws counts as unreadable.
 */
function readVersion(value: Buffer): number | undefined {
  try {
    return decodeConfiguration(value).version;
  } catch {
    return undefined;
  }
}
