/** Runs a stand-in engine in a separate process and prints its address. */
import { startEngine } from "../standins/engine.js";

const stepMs = Number(process.argv.at(2) ?? 0);
const engine = await startEngine({ stepMs });
console.log(engine.address);
