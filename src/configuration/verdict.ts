/** Maps a verdict to the error that the publishing operator sees. */
import { failure, type ApricotdeckError } from "../internal.js";
import { toConfigurationError } from "./check.js";
import type { Verdict } from "./types.js";

/**
 * Undefined if the publication was accepted or is a repeat of the latest link.
 */
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
      return toConfigurationError(verdict.problems);
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
