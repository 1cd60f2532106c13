/** Collects garbage at once, as a process does by itself now and then. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");

export const collectGarbage = runInNewContext("gc") as () => void;
