/** What a verdict means for the operator who published. */
import { failure, type ApricotdeckError } from "../internal.js";
import { problemsToFailure } from "./check.js";
import type { Verdict } from "./types.js";

/** Nothing when the publication is a link of the chain. */
export function verdictFailure(verdict: Verdict): ApricotdeckError | undefined {
  switch (verdict.kind) {
    case "accepted":
    case "duplicate":
      return undefined;
    case "not-understood": {
      const { offset, formatVersion } = verdict;
      return failure(1106, { offset, formatVersion });
    }
    case "superseded": {
      const { offset, basedOn, latest } = verdict;
      return failure(1102, { offset, basedOn, latest });
    }
    case "invalid":
      return problemsToFailure(verdict.problems);
    case "unreadable": {
      const { offset, reason } = verdict;
      return failure(1105, { offset, reason });
    }
    case "checkpoint-disagrees": {
      const { offset, asOf } = verdict;
      return failure(1107, { offset, asOf });
    }
  }
}
