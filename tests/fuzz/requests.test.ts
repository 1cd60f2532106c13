import { requestsTarget } from "../../fuzz/requests.js";
import { describeFuzzTarget } from "../support/fuzz.js";

describeFuzzTarget(requestsTarget, { seed: 1, runs: 400 });
