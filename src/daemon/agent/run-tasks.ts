/** One task for each run of the engine: feeds its answer to the gate. */
import {
  ApricotdeckError,
  toFailure,
  type AgentEffect,
  type AgentGate,
} from "../../internal.js";
import type { AnswerSink, RunnerClient } from "./runner-client.js";

type RunEffect = Extract<AgentEffect, { kind: "start-run" | "resume-run" }>;

/** Pause that a refused caller is told where the engine names none. */
const RETRY_AFTER_MS = 500;

export class RunTasks {
  private readonly aborts = new Map<string, AbortController>();

  private constructor(
    private readonly runner: RunnerClient,
    private readonly gate: AgentGate,
  ) {}

  static create(runner: RunnerClient, gate: AgentGate): RunTasks {
    return new RunTasks(runner, gate);
  }

  run(effect: RunEffect): void {
    // An older stream of the same run is given up; the run itself goes on.
    this.aborts.get(effect.run)?.abort();
    const abort = new AbortController();
    this.aborts.set(effect.run, abort);
    void this.read(effect, abort.signal).finally(() => {
      if (this.aborts.get(effect.run) === abort) this.aborts.delete(effect.run);
    });
  }

  cancel(run: string): void {
    this.aborts.get(run)?.abort();
    this.aborts.delete(run);
    // The engine may have ended it already, or be gone with it.
    this.runner.cancel(run).catch(() => undefined);
  }

  /** Lets go of every stream; the engine goes on for the next agent. */
  abandon(): void {
    for (const abort of this.aborts.values()) abort.abort();
    this.aborts.clear();
  }

  private async read(effect: RunEffect, signal: AbortSignal): Promise<void> {
    const { gate, runner } = this;
    const { run, stream } = effect;
    const sink: AnswerSink = {
      head: (status, headers, isEndMarked) => {
        gate.runHead(run, stream, status, headers, isEndMarked);
      },
      piece: (data) => {
        gate.runPiece(run, stream, data);
      },
    };
    try {
      if (effect.kind === "resume-run") await runner.resume(run, sink, signal);
      else await runner.start(effect, sink, signal);
      gate.runEnded(run, stream, performance.now());
    } catch (error) {
      this.fail(effect, toFailure(error, 1216));
    }
  }

  /** Only an error that proves it says that the run never started. */
  private fail({ run, stream }: RunEffect, { number }: ApricotdeckError): void {
    const { gate } = this;
    if (number === 1214 || number === 1405) {
      gate.runNotStarted(run, stream, number, RETRY_AFTER_MS);
    } else {
      gate.runFailed(run, stream, number, performance.now());
    }
  }
}
