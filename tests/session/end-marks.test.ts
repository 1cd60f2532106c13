import * as assert from "uvu/assert";
import { runToCompletion, findViolations } from "../../fuzz/requests/oracle.js";
import { Simulation } from "../../fuzz/requests/simulation.js";
import { readAgentFrame } from "../../src/daemon/session-frames.js";
import {
  EntrySessions,
  type EntryEffect,
  type FinalOutcome,
} from "../../src/internal.js";
import { ConservationLedger, isConserved } from "../../src/session/ledger.js";
import { AgentFrame } from "../../src/wire/generated/session.js";
import { createCall } from "../support/call.js";
import { describe, it } from "../support/describe.js";

const RUNNER = "runner-1";
const HEARTBEAT_MS = 500;
const SILENT_HEARTBEATS = 6;
const EMPTY_CHECKSUM = 0;

const CALL = createCall({ streamed: true });

type Body = NonNullable<AgentFrame["body"]>;
type HeadEffect = Extract<EntryEffect, { kind: "head" }>;

interface ReceivedAnswer {
  readonly outcome: FinalOutcome | undefined;
  readonly isEndMarked: boolean | undefined;
}

/** Passes an answer's frames through the wire format to an entry. */
function receiveAnswer(
  frames: (attempt: string) => readonly Body[],
): ReceivedAnswer {
  const effects: EntryEffect[] = [];
  const entry = EntrySessions.create({
    entry: "entry-1",
    incarnation: "entry-1-a",
    dataCentre: "lac",
    release: "test",
    perform: (effect) => effects.push(effect),
    mayRetry: () => false,
    createAttemptId: () => "attempt-1",
    random: () => 0,
    emit: () => undefined,
  });
  entry.addAgent(RUNNER, 0);
  const receive = (body: Body): void => {
    const bytes = AgentFrame.encode({ body }).finish();
    const frame = readAgentFrame(AgentFrame.decode(bytes));
    if (frame !== undefined) entry.receive(RUNNER, 1, frame, 0);
  };
  receive({
    $case: "opened",
    value: {
      session: {
        entry: "entry-1",
        entryIncarnation: "entry-1-a",
        agentIncarnation: "agent-1-a",
        number: 1,
      },
      runner: RUNNER,
      group: "group",
    },
  });
  entry.accept(CALL, 1_000, 0);
  entry.dispatch(CALL.request, RUNNER, 0);
  for (const body of frames("attempt-1")) receive(body);
  const head = effects.find(
    (effect): effect is HeadEffect => effect.kind === "head",
  );
  const finish = effects.find((effect) => effect.kind === "finish");
  return { outcome: finish?.outcome, isEndMarked: head?.isEndMarked };
}

/** An agent's frames; older agents omit `endMarked` and `vouched`. */
function answerFrames(contentType: string, isMarked: boolean) {
  return (attempt: string): readonly Body[] => {
    const headers = [{ name: "content-type", value: contentType }];
    const emptyAnswer = { count: 0, checksum: EMPTY_CHECKSUM };
    const status = 200;
    return [
      {
        $case: "head",
        value: { attempt, status, headers, endMarked: isMarked },
      },
      { $case: "end", value: { attempt, ...emptyAnswer, vouched: isMarked } },
    ];
  };
}

describe("the end of an answer in a session", () => {
  it("gives the outcome answered if the agent reports the end mark", () => {
    const received = receiveAnswer(answerFrames("text/plain", true));
    assert.equal(received, { outcome: "answered", isEndMarked: true });
  });

  // An older agent doesn't check for an end mark and omits the fields. If the
  // entry took that for a marked end, it would report a truncated answer as
  // complete.
  it("gives the outcome unmarked if an older agent omits the end mark", () => {
    const received = receiveAnswer(answerFrames("text/plain", false));
    assert.equal(received, { outcome: "unmarked", isEndMarked: false });
  });

  // Agents of every release report the end of an event stream only after its
  // closing event, so the event serves as the end mark.
  it("is marked by the closing event of a stream", () => {
    const received = receiveAnswer(
      answerFrames("text/event-stream; charset=utf-8", false),
    );
    assert.equal(received, { outcome: "answered", isEndMarked: true });
  });

  // The connection between entry and agent falls silent, and the entry resumes
  // the run on another one. Matching count and checksum show that nothing was
  // lost between the two, not that the agent read the complete answer.
  it("stays unmarked after a resumption", () => {
    const simulation = Simulation.create({ marksAnswerEnd: () => false });
    const request = simulation.accept(simulation.entries[0], false, true);
    const connection = simulation.connections.find(
      ({ toAgent }) => toAgent.length > 0,
    );
    for (let step = 0; step < 3; step += 1) simulation.step(10);
    if (connection !== undefined) connection.silent = true;
    for (let heartbeat = 0; heartbeat < SILENT_HEARTBEATS; heartbeat += 1)
      simulation.step(HEARTBEAT_MS);
    runToCompletion(simulation);
    assert.equal(findViolations(simulation), []);
    const outcomes = simulation.callers.get(request)?.outcomes;
    assert.equal(
      outcomes?.map(({ outcome }) => outcome),
      ["unmarked"],
    );
  });

  it("is counted apart from marked answers", () => {
    const ledger = ConservationLedger.create(() => undefined);
    ledger.accept();
    ledger.accept();
    ledger.finish("answered");
    ledger.finish("unmarked");
    const figures = ledger.check(0);
    assert.ok(isConserved(figures));
    assert.equal([figures.answered, figures.unmarked], [1, 1]);
  });
});
