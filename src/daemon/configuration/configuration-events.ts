/** Emits events for the records applied from the configuration stream. */
import {
  verdictFailure,
  type ApplyResult,
  type ConfigurationState,
  type Emit,
  type Verdict,
} from "../../internal.js";

export type ConfigurationSource = "log" | "peer";

export function emitConfigurationEvents(
  before: ConfigurationState,
  { state, verdicts }: ApplyResult,
  source: ConfigurationSource,
  emit: Emit,
): void {
  for (const verdict of verdicts) emitVerdict(verdict, emit);
  const { inForce } = state;
  if (inForce === null || inForce.version === before.inForce?.version) return;
  emit(111, { version: inForce.version, hash: inForce.hash, source });
}

function emitVerdict(verdict: Verdict, emit: Emit): void {
  const { offset } = verdict;
  if (verdict.kind === "not-understood") {
    emit(113, { offset, formatVersion: verdict.formatVersion });
    return;
  }
  if (verdict.kind === "checkpoint-disagrees") {
    const detail = `checkpoint at offset ${offset}, as of offset ${verdict.asOf}`;
    emit(104, { rule: "checkpoint-agrees", detail });
    return;
  }
  const failure = verdictFailure(verdict);
  if (failure === undefined) return;
  emit(112, { offset, error: failure.number, reason: failure.message });
}
