/**
 * Entry point of the planner thread: turns each window into events and a plan.
 */
import { parentPort, workerData } from "node:worker_threads";
import { Balancer, type Emit } from "../internal.js";
import type {
  PlannerThreadData,
  PlannerThreadMessage,
  PlannerWindow,
} from "./planner-thread.js";

const { shape, limits } = workerData as PlannerThreadData;
const send = (message: PlannerThreadMessage): void => {
  parentPort?.postMessage(message);
};
const emit: Emit = (number, fields) => {
  send({ kind: "event", number, ...(fields ? { fields } : {}) });
};
const balancer = Balancer.create(shape, emit, limits);

parentPort?.on("message", ({ reports, ...decision }: PlannerWindow) => {
  balancer.observe(decision.map, reports);
  send({ kind: "plan", plan: balancer.decide(decision) });
});
