/** Tells operators what became of the records of the configuration stream. */
import {
  verdictFailure,
  type Applied,
  type ConfigurationState,
  type Emit,
  type Verdict,
} from "../../internal.js";

export type Source = "log" | "peer";

export function reportApplied(
  before: ConfigurationState,
  { state, verdicts }: Applied,
  source: Source,
  emit: Emit,
): void {
  for (const verdict of verdicts) reportVerdict(verdict, emit);
  const { inForce } = state;
  if (inForce === null || inForce.version === before.inForce?.version) return;
  emit(111, { version: inForce.version, hash: inForce.hash, source });
}

function reportVerdict(verdict: Verdict, emit: Emit): void {
  const { offset } = verdict;
  if (verdict.kind === "not-understood") {
    emit(113, { offset, formatVersion: verdict.formatVersion });
    return;
  }
  if (verdict.kind === "checkpoint-disagrees") {
    const detail = `checkpoint at ${offset} as of ${verdict.asOf}`;
    emit(104, { rule: "checkpoint-agrees", detail });
    return;
  }
  const problem = verdictFailure(verdict);
  if (problem === undefined) return;
  emit(112, { offset, error: problem.number, reason: problem.message });
}
