/** Pace notes: every good one comes out, in its place, and nothing else. */
import fc from "fast-check";
import { decodeChangesPage } from "../../platform/store-pages.js";
import { ignoreEvents, ignoreMeasurements } from "../../src/internal.js";
import { readPaceNotes } from "../../src/membership/slow-runners.js";
import { RecordFindings } from "../../src/platform/record-findings.js";
import { addressVerdict, goodAddresses, objectOf } from "./oracle.js";
import type { RecordShape, Step } from "./steps.js";
import { WrittenTopic, type Written } from "./topic.js";

export const paceKeys = [...goodAddresses, "", "host:0"];

export const paceShape: RecordShape = {
  slowness: {
    good: fc.double({ min: 0.5, max: 9, noNaN: true }),
    odd: fc.constantFrom<unknown>("6", null, 0, -1, [2]),
  },
};

export function judgePaceNotes(steps: readonly Step[]): readonly string[] {
  const topic = WrittenTopic.create(paceKeys);
  for (const step of steps) if (step.kind !== "page") topic.write(step);
  const findings = RecordFindings.create({
    emit: ignoreEvents,
    measurements: ignoreMeasurements,
  });
  const { records } = decodeChangesPage(topic.page(0, 0));
  const found = readPaceNotes(records, findings);
  const expected = topic.history.flatMap(noteOf);
  const isSame = JSON.stringify(found) === JSON.stringify(expected);
  if (isSame) return [];
  return [`pace: ${JSON.stringify(found)}, not ${JSON.stringify(expected)}`];
}

function noteOf({ key, value }: Written): readonly unknown[] {
  if (addressVerdict(key) !== "good" || value === undefined) return [];
  const slowness = objectOf(value)?.slowness;
  const isSlowness = typeof slowness === "number" && Number.isFinite(slowness);
  return isSlowness && slowness > 0 ? [{ address: key, slowness }] : [];
}
