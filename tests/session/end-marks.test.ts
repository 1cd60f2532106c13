import * as assert from "uvu/assert";
import { settle, violations } from "../../fuzz/requests/oracle.js";
import { World } from "../../fuzz/requests/world.js";
import { readAgentFrame } from "../../src/daemon/session-frames.js";
import {
  EntrySessions,
  type Call,
  type EntryEffect,
  type FinalOutcome,
} from "../../src/internal.js";
import { ConservationLedger, isConserved } from "../../src/session/ledger.js";
import { AgentFrame } from "../../src/wire/generated/session.js";
import { describe, it } from "../support/describe.js";

const RUNNER = "runner-1";
const HEARTBEAT_MS = 500;
const SILENT_BEATS = 6;
const CHECKSUM_OF_NOTHING = 0;

const CALL: Call = {
  request: "request-1",
  account: "account-1",
  method: "GET",
  path: "/",
  headers: [],
  body: new Uint8Array(0),
  streamed: true,
  repeatable: false,
  priority: 0,
  costTokens: 1,
  idempotencyKey: "",
  model: "",
};

type Body = NonNullable<AgentFrame["body"]>;
type HeadEffect = Extract<EntryEffect, { kind: "head" }>;

interface Taken {
  readonly outcome: FinalOutcome | undefined;
  readonly isEndMarked: boolean | undefined;
}

/** What an entry makes of an answer, whose frames pass over the wire. */
function take(frames: (attempt: string) => readonly Body[]): Taken {
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

/** As an agent sends it; the last two fields are absent at an older one. */
function answer(type: string, isMarked: boolean) {
  return (attempt: string): readonly Body[] => {
    const headers = [{ name: "content-type", value: type }];
    const counted = { count: 0, checksum: CHECKSUM_OF_NOTHING };
    const status = 200;
    return [
      {
        $case: "head",
        value: { attempt, status, headers, endMarked: isMarked },
      },
      { $case: "end", value: { attempt, ...counted, vouched: isMarked } },
    ];
  };
}

describe("the end of an answer in a session", () => {
  it("makes it answered where the agent vouches for it", () => {
    const taken = take(answer("text/plain", true));
    assert.equal(taken, { outcome: "answered", isEndMarked: true });
  });

  // The caller of an entry beside an older agent gets an answer without length
  // and chunks. The agent says nothing of the end, as it doesn't look: taken as
  // a promise, its silence would pass half an answer off as whole.
  it("makes it unmarked where an older agent says nothing", () => {
    const taken = take(answer("text/plain", false));
    assert.equal(taken, { outcome: "unmarked", isEndMarked: false });
  });

  // The caller gets its stream with the closing event, whatever release the
  // agent has: none reports the end of a stream before that event.
  it("is vouched for by the closing event of a stream", () => {
    const taken = take(answer("text/event-stream; charset=utf-8", false));
    assert.equal(taken, { outcome: "answered", isEndMarked: true });
  });

  // The caller gets the rest of an answer after a pause, and no more certainty
  // than without it. The connection between entry and agent falls silent; the
  // entry resumes on another one, where count and checksum agree. They say that
  // nothing was lost between the two, not that the agent read the whole.
  it("stays unmarked over a resumption", () => {
    const world = World.create({ marksEndOf: () => false });
    const request = world.accept(world.entries[0], false, true);
    const busy = world.connections.find(({ up }) => up.length > 0);
    for (let step = 0; step < 3; step += 1) world.step(10);
    if (busy !== undefined) busy.silent = true;
    for (let beat = 0; beat < SILENT_BEATS; beat += 1) world.step(HEARTBEAT_MS);
    settle(world);
    assert.equal(violations(world), []);
    const outcomes = world.callers.get(request)?.outcomes;
    assert.equal(
      outcomes?.map(({ outcome }) => outcome),
      ["unmarked"],
    );
  });

  it("is counted apart from whole answers", () => {
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
