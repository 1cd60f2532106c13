import { Command } from "clipanion";
import * as z from "zod";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import {
  queryAllProcesses,
  unreachableNames,
  type ProcessAnswer,
} from "../processes.js";
import { renderTable } from "../table.js";
import { ToolCommand } from "../tool-command.js";

const conservationSchema = z.object({
  accepted: z.number(),
  answered: z.number(),
  /** Absent from processes of older releases. */
  unmarked: z.number().default(0),
  "not-run": z.number(),
  unknown: z.number(),
  "broken-off": z.number(),
  inFlight: z.number(),
});

type Conservation = z.infer<typeof conservationSchema>;

const statusSchema = z.looseObject({
  release: z.string(),
  leaving: z.boolean(),
  version: z.number().nullable(),
  hash: z.string().nullable(),
  conservation: conservationSchema.optional(),
});

const NO_REQUESTS: Conservation = {
  accepted: 0,
  answered: 0,
  unmarked: 0,
  "not-run": 0,
  unknown: 0,
  "broken-off": 0,
  inFlight: 0,
};

/** Shows the state of every process and the totals of request outcomes. */
export class StatusCommand extends ToolCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show every process and the conservation of requests",
  });

  protected async run(): Promise<ExitCode> {
    const answers = await queryAllProcesses(this.vmListAddress, "/status");
    const missing = unreachableNames(answers);
    const total = answers
      .map(conservationOf)
      .reduce(addConservation, NO_REQUESTS);
    const balanced = isBalanced(total);
    const processes = answers.map(({ vm, answer }) => ({
      name: vm.name,
      dataCentre: vm.dataCentre,
      reachable: answer !== undefined,
      status: answer ?? null,
    }));
    this.print(
      { processes, conservation: total, balanced, missing },
      this.describe(answers, total, missing),
    );
    if (!balanced) return exitCodes.refused;
    return missing.length > 0 ? exitCodes.incomplete : exitCodes.done;
  }

  private describe(
    answers: readonly ProcessAnswer[],
    total: Conservation,
    missing: readonly string[],
  ): string {
    const head = [
      "process",
      "role",
      "data centre",
      "state",
      "version",
      "hash",
      "release",
    ];
    const sum = Object.entries(total).map(([key, value]) => `${key} ${value}`);
    const lines = [
      renderTable(head, answers.map(rowOf)),
      "",
      `requests: ${sum.join(", ")}`,
    ];
    if (!isBalanced(total)) lines.push("the requests do not add up");
    if (missing.length > 0) lines.push(`not reached: ${missing.join(", ")}`);
    return lines.join("\n");
  }
}

function rowOf({ vm, answer }: ProcessAnswer): string[] {
  const { name, role, dataCentre } = vm;
  const status = statusSchema.safeParse(answer).data;
  if (status === undefined) {
    const state = answer === undefined ? "not reached" : "not understood";
    return [name, role, dataCentre, state, "", "", ""];
  }
  const state = status.leaving ? "leaving" : "live";
  const version = status.version === null ? "none" : String(status.version);
  const hash = status.hash?.slice(0, 12) ?? "";
  return [name, role, dataCentre, state, version, hash, status.release];
}

function conservationOf({ answer }: ProcessAnswer): Conservation {
  return statusSchema.safeParse(answer).data?.conservation ?? NO_REQUESTS;
}

function addConservation(a: Conservation, b: Conservation): Conservation {
  return {
    accepted: a.accepted + b.accepted,
    answered: a.answered + b.answered,
    unmarked: a.unmarked + b.unmarked,
    "not-run": a["not-run"] + b["not-run"],
    unknown: a.unknown + b.unknown,
    "broken-off": a["broken-off"] + b["broken-off"],
    inFlight: a.inFlight + b.inFlight,
  };
}

function isBalanced({ accepted, ...outcomes }: Conservation): boolean {
  const sum = Object.values(outcomes).reduce((a, b) => a + b, 0);
  return accepted === sum;
}
