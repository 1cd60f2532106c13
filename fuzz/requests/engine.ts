/**
 * The engine of one runner as the oracle sees it: it outlives its agent, and
 * its own record says what was started and what each full answer is.
 */
import type { Call } from "../../src/internal.js";

export interface EngineRun {
  readonly name: string;
  readonly call: Call;
  /** Full answer of each generation; another one after a regeneration. */
  readonly versions: string[][];
  /** Its end can be told from a break inside it. */
  readonly isEndMarked: boolean;
  /** Incarnation of the agent and stream that get the answer now. */
  reader: { readonly incarnation: string; readonly stream: number };
  sent: number;
  headSent: boolean;
  over: boolean;
}

export interface EngineStart {
  readonly request: string;
  readonly attempt: string;
  /** Incarnation of the agent that started it. */
  readonly incarnation: string;
  readonly at: number;
}

export interface EngineOutput {
  readonly head: (run: EngineRun) => void;
  readonly piece: (run: EngineRun, text: string) => void;
  readonly end: (run: EngineRun) => void;
}

const SHORTEST_ANSWER = 4;
const ANSWER_LENGTHS = 5;

export class Engine {
  readonly runs = new Map<string, EngineRun>();
  readonly starts: EngineStart[] = [];
  /** Refuses connections: nothing starts, and its agent knows it. */
  refusing = false;

  private constructor(
    private readonly runner: string,
    private readonly marksEndOf: (call: Call) => boolean,
  ) {}

  static create(
    runner: string,
    marksEndOf: (call: Call) => boolean = () => true,
  ): Engine {
    return new Engine(runner, marksEndOf);
  }

  start(name: string, call: Call, reader: EngineRun["reader"], at: number) {
    const { request } = call;
    const { incarnation } = reader;
    this.starts.push({ request, attempt: name, incarnation, at });
    const run: EngineRun = {
      name,
      call,
      versions: [],
      isEndMarked: this.marksEndOf(call),
      reader,
      sent: 0,
      headSent: false,
      over: false,
    };
    this.generate(run);
    this.runs.set(name, run);
  }

  /** False when no such run is known. */
  resume(name: string, reader: EngineRun["reader"]): boolean {
    const run = this.runs.get(name);
    if (run === undefined) return false;
    run.reader = reader;
    run.sent = 0;
    run.headSent = false;
    run.over = false;
    return true;
  }

  cancel(name: string): void {
    const run = this.runs.get(name);
    if (run !== undefined) run.over = true;
  }

  /**
   * A restart that generates other words for what still runs; its readers
   * lose their streams.
   */
  regenerate(lose: (run: EngineRun) => void): void {
    for (const run of this.runs.values()) {
      if (run.over) continue;
      this.generate(run);
      lose(run);
      run.reader = { incarnation: "", stream: 0 };
    }
  }

  /** Every running run puts out one thing more. */
  step(output: EngineOutput): void {
    for (const run of this.runs.values()) {
      if (!run.over) this.stepRun(run, output);
    }
  }

  private stepRun(run: EngineRun, output: EngineOutput): void {
    const answer = run.versions.at(-1) ?? [];
    const text = answer[run.sent];
    if (!run.headSent) {
      run.headSent = true;
      output.head(run);
    } else if (run.sent < answer.length) {
      run.sent += 1;
      output.piece(run, text);
    } else {
      run.over = true;
      output.end(run);
    }
  }

  private generate(run: EngineRun): void {
    const length = SHORTEST_ANSWER + (this.starts.length % ANSWER_LENGTHS);
    const version = run.versions.length;
    const answer = Array.from(
      { length },
      (_, index) => `${this.runner}/${run.name}/${version}/${index};`,
    );
    run.versions.push(answer);
  }
}
