import { drainTarget } from "../../fuzz/drain.js";
import { describeFuzzTarget } from "../support/fuzz.js";

describeFuzzTarget(drainTarget, { seed: 1, runs: 400 });
