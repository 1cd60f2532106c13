import { recordsTarget } from "../../fuzz/records.js";
import { describeFuzzTarget } from "../support/fuzz.js";

describeFuzzTarget(recordsTarget, { seed: 1, runs: 2000 });
