/** Configurations: of each page the newest one that can be read. */
import fc from "fast-check";
import { decodeConfiguration } from "../../platform/configuration.js";
import { decodeChangesPage } from "../../platform/store-pages.js";
import { newestConfiguration } from "../../src/routing/newest-configuration.js";
import type { RecordShape, Step } from "./steps.js";
import { WrittenTopic, type Written } from "./topic.js";

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
    good: fc.nat({ max: 9 }),
    odd: fc.constantFrom<unknown>("1", null, {}),
  },
  routes: {
    good: fc.constantFrom([], [route]),
    odd: fc.constantFrom<unknown>({}, [null], [{ ...route, hostname: 1 }]),
  },
  services: {
    good: fc.constantFrom([], [{ name: "a" }]),
    odd: fc.constantFrom<unknown>(null, [{}], [{ name: "a", engine: 1 }]),
  },
  limits: {
    good: fc.constant(limits),
    odd: fc.constantFrom<unknown>(
      [],
      { ...limits, idle_timeout_ms: "1" },
      { ...limits, idle_timeout_ms: -1 },
    ),
  },
};

export function judgeConfigurations(steps: readonly Step[]): readonly string[] {
  const topic = WrittenTopic.create(configurationKeys);
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
    const expected = versionOf(written);
    if (found?.version === expected) return;
    violations.push(
      `configuration: ${String(found?.version)}, not ${String(expected)}`,
    );
  };
  for (const step of steps) {
    if (step.kind === "page") read(step.extraBytes);
    else topic.write(step);
  }
  read(0);
  return violations;
}

/** Version of the newest one that can be read. */
function versionOf(written: readonly Written[]): number | undefined {
  for (const record of [...written].reverse()) {
    const { key, value } = record;
    if (key !== KEY || value === undefined) continue;
    const version = isBad(record) ? undefined : readVersion(value);
    if (version !== undefined) return version;
  }
  return undefined;
}

function isBad({ step }: Written): boolean {
  return step.kind === "mutated" || step.kind === "bytes";
}

/** Where no more is known, the decoder itself may say; only not by throwing. */
function readVersion(value: Buffer): number | undefined {
  try {
    return decodeConfiguration(value).version;
  } catch {
    return undefined;
  }
}
