/** Requests whose prompts consist of parts, as the crash simulation sends them. */

import type { DirectCall } from "../../src/direct/types.js";
import { createRoute } from "../routing/support.js";

export interface PromptRequest {
  readonly body: string;
  /** Ids of the prompt's parts; the last is the request's own. */
  readonly parts: readonly string[];
}

/** Number of different first parts and of different subjects. */
const FIRST_PARTS = 5;
const SUBJECTS = 40;
const CRASHING_PART = "crashing";

/**
 * A harmless request. With a number, one that contains the crashing part and
 * whose own part no other request has.
 */
export function requestOf(
  kind: number,
  crashingNumber?: number,
): PromptRequest {
  const [first, subject] = [
    `first-${kind % FIRST_PARTS}`,
    `subject-${kind % SUBJECTS}`,
  ];
  if (crashingNumber === undefined) {
    return { body: `harmless-${kind}`, parts: [first, subject, `own-${kind}`] };
  }
  const own = `crashing-${crashingNumber}`;
  const isFirst = crashingNumber % 2 === 0;
  const parts = isFirst
    ? [CRASHING_PART, first, subject, own]
    : [first, CRASHING_PART, subject, own];
  return { body: own, parts };
}

export function callOf({ body, parts }: PromptRequest): DirectCall {
  return {
    id: body,
    method: "POST",
    target: "/",
    headers: [],
    body: Buffer.from(body),
    fields: {
      attemptId: body,
      deadlineMs: undefined,
      credential: undefined,
      promptTokens: 0,
      outputTokens: 0,
      model: "model",
      promptParts: parts,
      lastEventId: 0,
    },
    route: createRoute({ kind: "stream" }),
    version: 1,
    service: "model",
    account: undefined,
    priority: 0,
    arrivedAtMs: 0,
    deadlineAtMs: 0,
  };
}
