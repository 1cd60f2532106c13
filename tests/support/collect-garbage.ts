/**
 * Runs a full garbage collection synchronously, without starting the process
 * with `--expose-gc`.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");

export const collectGarbage = runInNewContext("gc") as () => void;
