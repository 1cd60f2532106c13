/** Counts the requests that reach a runner while it has asked an entry for rest. */
import { askForRest, type Behaviour } from "../../standins/signing-runner.js";

/** Header in which the callers of a test name their entry. */
export const ENTRY_HEADER = "x-entry";

/** Time after a refusal from which requests count, ms. */
const NOTICE_MS = 500;
/** Requests that may reach a runner during one rest from one entry. */
export const ALLOWED_DURING_REST = 2;

interface Rest {
  readonly entry: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

export class RestOracle {
  private readonly rests: Rest[] = [];
  private readonly arrivals: { entry: string; atMs: number }[] = [];
  private refusing = false;

  private constructor(
    private readonly restMs: number,
    private readonly behave: Behaviour,
  ) {}

  /** Watches a runner that behaves like `behave` unless it refuses. */
  static create(restMs: number, behave: Behaviour): RestOracle {
    return new RestOracle(restMs, behave);
  }

  set isRefusing(isRefusing: boolean) {
    this.refusing = isRefusing;
  }

  /** Number of refusals with which the runner has asked for rest. */
  get refusals(): number {
    return this.rests.length;
  }

  get behaviour(): Behaviour {
    return async (exchange) => {
      const entry = String(exchange.received.headers[ENTRY_HEADER]);
      this.arrivals.push({ entry, atMs: performance.now() });
      if (this.refusing) await this.refuse(exchange);
      else await this.behave(exchange);
    };
  }

  /** Refuses the request with the runner's rest. */
  refuse: Behaviour = async (exchange) => {
    const entry = String(exchange.received.headers[ENTRY_HEADER]);
    const fromMs = performance.now();
    this.rests.push({ entry, fromMs, untilMs: fromMs + this.restMs });
    await askForRest(String(this.restMs / 1000))(exchange);
  };

  /** Most requests of one entry during one rest that it has been told of. */
  get mostDuringRest(): number {
    const counts = this.rests.map(
      (rest) =>
        this.arrivals.filter(
          ({ entry, atMs }) =>
            entry === rest.entry &&
            atMs > rest.fromMs + NOTICE_MS &&
            atMs < rest.untilMs,
        ).length,
    );
    return Math.max(0, ...counts);
  }
}

/** Answers as `behave` does, and refuses what comes beyond `slots` at once. */
export function withSlots(
  slots: number,
  behave: Behaviour,
  refuse: Behaviour,
): Behaviour {
  let running = 0;
  return async (exchange) => {
    if (running >= slots) {
      await refuse(exchange);
      return;
    }
    running += 1;
    exchange.response.once("close", () => {
      running -= 1;
    });
    await behave(exchange);
  };
}
