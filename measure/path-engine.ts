/** A stand-in engine as a process of its own; prints its address. */
import { startEngine } from "../standins/engine.js";

const stepMs = Number(process.argv.at(2) ?? 0);
const engine = await startEngine({ stepMs });
console.log(engine.address);
