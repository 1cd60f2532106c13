/** Types of the evacuation of data centres. */

/** What a record of the operator's topic says about a data centre. */
export interface EvacuationRecord {
  readonly dataCentre: string;
  /** `unreadable`: the record exists, but its value can't be read. */
  readonly state: "evacuated" | "removed" | "unreadable";
}
