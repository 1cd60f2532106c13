/**
 * Simulated engine of one runner. It outlives its agent and records all starts
 * and complete answers for the oracle.
 */
import type { Call } from "../../src/internal.js";

export interface EngineRun {
  readonly id: string;
  readonly call: Call;
  /** Complete answer of each generation, the latest one last. */
  readonly generations: string[][];
  /** The answer has an end mark. */
  readonly isEndMarked: boolean;
  /** Agent incarnation and stream that currently receive the answer. */
  reader: { readonly incarnation: string; readonly stream: number };
  sentCount: number;
  headSent: boolean;
  isFinished: boolean;
}

export interface EngineStart {
  readonly request: string;
  readonly attempt: string;
  /** Incarnation of the agent that started the run. */
  readonly incarnation: string;
  /** Virtual time, ms. */
  readonly at: number;
}

export interface EngineOutput {
  readonly head: (run: EngineRun) => void;
  readonly piece: (run: EngineRun, text: string) => void;
  readonly end: (run: EngineRun) => void;
}

const MINIMUM_ANSWER_PIECES = 4;
const DISTINCT_ANSWER_LENGTHS = 5;

export class SimulatedEngine {
  readonly runs = new Map<string, EngineRun>();
  readonly starts: EngineStart[] = [];
  /** Refuses connections: nothing starts, and the agent is told so. */
  isRefusing = false;

  private constructor(
    private readonly runner: string,
    private readonly marksAnswerEnd: (call: Call) => boolean,
  ) {}

  static create(
    runner: string,
    marksAnswerEnd: (call: Call) => boolean = () => true,
  ): SimulatedEngine {
    return new SimulatedEngine(runner, marksAnswerEnd);
  }

  start(id: string, call: Call, reader: EngineRun["reader"], at: number) {
    const { request } = call;
    const { incarnation } = reader;
    this.starts.push({ request, attempt: id, incarnation, at });
    const run: EngineRun = {
      id,
      call,
      generations: [],
      isEndMarked: this.marksAnswerEnd(call),
      reader,
      sentCount: 0,
      headSent: false,
      isFinished: false,
    };
    this.generate(run);
    this.runs.set(id, run);
  }

  /** Resends the answer from the start; false if the run is unknown. */
  resume(id: string, reader: EngineRun["reader"]): boolean {
    const run = this.runs.get(id);
    if (run === undefined) return false;
    run.reader = reader;
    run.sentCount = 0;
    run.headSent = false;
    run.isFinished = false;
    return true;
  }

  cancel(id: string): void {
    const run = this.runs.get(id);
    if (run !== undefined) run.isFinished = true;
  }

  /**
   * Restarts the engine: unfinished runs generate other text, and their
   * readers lose their streams.
   */
  regenerate(onStreamLost: (run: EngineRun) => void): void {
    for (const run of this.runs.values()) {
      if (run.isFinished) continue;
      this.generate(run);
      onStreamLost(run);
      run.reader = { incarnation: "", stream: 0 };
    }
  }

  /** Every unfinished run emits its next output: head, piece or end. */
  step(output: EngineOutput): void {
    for (const run of this.runs.values()) {
      if (!run.isFinished) this.stepRun(run, output);
    }
  }

  private stepRun(run: EngineRun, output: EngineOutput): void {
    const answer = run.generations.at(-1) ?? [];
    const text = answer[run.sentCount];
    if (!run.headSent) {
      run.headSent = true;
      output.head(run);
    } else if (run.sentCount < answer.length) {
      run.sentCount += 1;
      output.piece(run, text);
    } else {
      run.isFinished = true;
      output.end(run);
    }
  }

  private generate(run: EngineRun): void {
    const length =
      MINIMUM_ANSWER_PIECES + (this.starts.length % DISTINCT_ANSWER_LENGTHS);
    const generation = run.generations.length;
    const answer = Array.from(
      { length },
      (_, index) => `${this.runner}/${run.id}/${generation}/${index};`,
    );
    run.generations.push(answer);
  }
}
