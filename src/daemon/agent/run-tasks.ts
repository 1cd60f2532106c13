/** Runs one task per engine run, which feeds the answer to the gate. */
import {
  ApricotdeckError,
  toFailure,
  type AgentEffect,
  type AgentGate,
} from "../../internal.js";
import type { RunBodies } from "./run-bodies.js";
import type { AnswerSink, RunnerClient } from "./runner-client.js";

type RunEffect = Extract<AgentEffect, { kind: "start-run" | "resume-run" }>;

/** Retry delay sent to a caller whose run the engine didn't start. */
const DEFAULT_RETRY_AFTER_MS = 500;

export class RunTasks {
  private readonly abortControllers = new Map<string, AbortController>();

  private constructor(
    private readonly runner: RunnerClient,
    private readonly gate: AgentGate,
    private readonly bodies: RunBodies,
  ) {}

  static create(
    runner: RunnerClient,
    gate: AgentGate,
    bodies: RunBodies,
  ): RunTasks {
    return new RunTasks(runner, gate, bodies);
  }

  run(effect: RunEffect): void {
    // Stops reading an older stream of this run; the run itself continues.
    this.abortControllers.get(effect.run)?.abort();
    const controller = new AbortController();
    this.abortControllers.set(effect.run, controller);
    void this.readAnswer(effect, controller.signal).finally(() => {
      if (this.abortControllers.get(effect.run) === controller)
        this.abortControllers.delete(effect.run);
    });
  }

  cancel(run: string): void {
    this.abortControllers.get(run)?.abort();
    this.abortControllers.delete(run);
    // Ignored: the run may have ended already, or the engine may be down.
    this.runner.cancel(run).catch(() => undefined);
  }

  /**
   * Stops reading every stream; the runs continue for the next agent process.
   */
  stopReading(): void {
    for (const controller of this.abortControllers.values()) controller.abort();
    this.abortControllers.clear();
  }

  private async readAnswer(
    effect: RunEffect,
    signal: AbortSignal,
  ): Promise<void> {
    const { gate, runner } = this;
    const { run, stream } = effect;
    const heldBody = this.bodies.hold(effect.call);
    const sink: AnswerSink = {
      head: (status, headers, isEndMarked) => {
        gate.runHead(run, stream, status, headers, isEndMarked);
      },
      piece: (data) => {
        gate.runPiece(run, stream, data);
      },
    };
    try {
      if (effect.kind === "resume-run")
        await runner.resume(effect, sink, signal);
      else await runner.start(effect, sink, signal);
      gate.runEnded(run, stream, performance.now());
    } catch (error) {
      this.reportFailure(effect, toFailure(error, 1216));
    } finally {
      heldBody[Symbol.dispose]();
    }
  }

  /** Reports a run as not started only for errors that prove it. */
  private reportFailure(
    { run, stream }: RunEffect,
    { number }: ApricotdeckError,
  ): void {
    const { gate } = this;
    if (number === 1214 || number === 1405) {
      gate.runNotStarted(run, stream, number, DEFAULT_RETRY_AFTER_MS);
    } else {
      gate.runFailed(run, stream, number, performance.now());
    }
  }
}
