import { Command, Option } from "clipanion";
import * as z from "zod";
import { compareReadings } from "../../internal.js";
import { exitCodes, type ExitCode } from "../exit-codes.js";
import {
  queryAllProcesses,
  unreachableNames,
  type ProcessAnswer,
} from "../processes.js";
import { renderTable } from "../table.js";
import { ToolCommand } from "../tool-command.js";

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;

const unitMs: Readonly<Partial<Record<string, number>>> = {
  s: SECOND_MS,
  m: MINUTE_MS,
  h: HOUR_MS,
};

const eventSchema = z.object({
  process: z.string(),
  clock: z.object({ physicalMs: z.number(), counter: z.number() }),
  number: z.number(),
  name: z.string(),
  level: z.string(),
  fields: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean(), z.null()]),
  ),
});

const eventsSchema = z.object({ events: z.array(eventSchema) });

type Event = Readonly<z.infer<typeof eventSchema>>;

/** Merges the events of all processes in causal order. */
export class TimelineCommand extends ToolCommand {
  static override paths = [["timeline"]];
  static override usage = Command.Usage({
    description: "Show the events of all processes in causal order",
    examples: [
      ["One request", "apricotdeck timeline --request ID"],
      [
        "One group in the last ten minutes",
        "apricotdeck timeline --group pool --since 10m",
      ],
    ],
  });

  readonly request = Option.String("--request", {
    description: "Events that name this request or attempt",
  });

  readonly group = Option.String("--group", {
    description: "Events that name this group",
  });

  readonly since = Option.String("--since", {
    description: "Only events of the last period, e.g. 30s, 10m, 2h",
  });

  protected async run(): Promise<ExitCode> {
    const answers = await queryAllProcesses(
      this.vmListAddress,
      `/events?${this.query()}`,
    );
    const events = this.selectEvents(answers.flatMap(eventsOf));
    const missing = unreachableNames(answers);
    const rows = events.map(({ clock, process, number, name, fields }) => [
      new Date(clock.physicalMs).toISOString(),
      String(clock.counter),
      process,
      String(number),
      name,
      describeFields(fields),
    ]);
    const head = ["time", "n", "process", "event", "name", "fields"];
    const note =
      missing.length > 0 ? `\nnot reached: ${missing.join(", ")}` : "";
    this.print({ events, missing }, `${renderTable(head, rows)}${note}`);
    return missing.length > 0 ? exitCodes.incomplete : exitCodes.done;
  }

  private query(): string {
    const sinceMs =
      this.since === undefined ? 0 : Date.now() - parseDurationMs(this.since);
    return `sinceMs=${sinceMs}`;
  }

  /**
   * Sorts the events and applies the filters. A request's events name the
   * request or one of its attempts.
   */
  private selectEvents(events: readonly Event[]): Event[] {
    const { request, group } = this;
    const sorted = [...events].sort((a, b) =>
      compareReadings(a.clock, b.clock),
    );
    if (request === undefined && group === undefined) return sorted;
    const wanted = new Set([request, group]);
    const attempts = sorted
      .filter(({ fields }) => fields.request === request)
      .map(({ fields }) => fields.attempt);
    for (const attempt of attempts) {
      if (typeof attempt === "string") wanted.add(attempt);
    }
    return sorted.filter(({ fields }) =>
      Object.values(fields).some(
        (value) => typeof value === "string" && wanted.has(value),
      ),
    );
  }
}

function eventsOf({ answer }: ProcessAnswer): readonly Event[] {
  return eventsSchema.safeParse(answer).data?.events ?? [];
}

function describeFields(fields: Event["fields"]): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
}

/** Milliseconds of "30s", "10m" or "2h"; a bare number is seconds. */
function parseDurationMs(text: string): number {
  const [, amount = "0", unit = "s"] = /^(\d+)([smh]?)$/.exec(text) ?? [];
  return Number(amount) * (unitMs[unit] ?? SECOND_MS);
}
