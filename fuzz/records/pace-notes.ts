/**
 * Pace notes: the reader returns all valid notes in order, and nothing else.
 */
import fc from "fast-check";
import { decodeChangesPage } from "../../platform/store-pages.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import { readPaceNotes } from "../../src/membership/slow-runners.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { classifyAddress, validAddresses, parseJson } from "./oracle.js";
import type { RecordShape, Step } from "./steps.js";
import { TopicModel, type WrittenRecord } from "./topic.js";

export const paceKeys = [...validAddresses, "", "host:0"];

export const paceShape: RecordShape = {
  slowness: {
    valid: fc.double({ min: 0.5, max: 9, noNaN: true }),
    invalid: fc.constantFrom<unknown>("6", null, 0, -1, [2]),
  },
};

export function checkPaceNotes(steps: readonly Step[]): readonly string[] {
  const topic = TopicModel.create(paceKeys);
  for (const step of steps) if (step.kind !== "page") topic.write(step);
  const findings = RecordFindings.create({
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
  });
  const { records } = decodeChangesPage(topic.page(0, 0));
  const found = readPaceNotes(records, findings);
  const expected = topic.history.flatMap(expectedNotes);
  const isSame = JSON.stringify(found) === JSON.stringify(expected);
  if (isSame) return [];
  return [
    `pace: ${JSON.stringify(found)}, expected ${JSON.stringify(expected)}`,
  ];
}

function expectedNotes({ key, value }: WrittenRecord): readonly unknown[] {
  if (classifyAddress(key) !== "valid" || value === undefined) return [];
  const slowness = parseJson(value)?.slowness;
  const isSlowness = typeof slowness === "number" && Number.isFinite(slowness);
  return isSlowness && slowness > 0 ? [{ address: key, slowness }] : [];
}
