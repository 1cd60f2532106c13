/** Runs a case and ends with the exit code that the review asks for. */
import { CaseRecord } from "./record.js";

export const RULE_HELD = 0;
export const RULE_BROKEN = 1;
export const COULD_NOT_RUN = 2;

export type Verdict =
  typeof RULE_HELD | typeof RULE_BROKEN | typeof COULD_NOT_RUN;

export async function runCase(
  folder: string,
  /** False: everything but the disruption. */
  hasTrouble: boolean,
  run: (record: CaseRecord) => Promise<Verdict>,
): Promise<never> {
  const record = CaseRecord.create(`${folder}/record.txt`);
  let verdict: Verdict = COULD_NOT_RUN;
  try {
    record.add(hasTrouble ? "with the disruption" : "without the disruption");
    verdict = await run(record);
  } catch (error) {
    const text = error instanceof Error ? (error.stack ?? "") : String(error);
    record.add(`the case couldn't run: ${text}`);
  }
  record.add(`exit code ${verdict}`);
  record.save();
  process.exit(verdict);
}
