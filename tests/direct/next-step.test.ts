import * as assert from "uvu/assert";
import {
  LEAST_TIME_LEFT_MS,
  mayMove,
  nextStep,
  type AttemptHistory,
} from "../../src/direct/next-step.js";
import type { AttemptEnd } from "../../src/direct/types.js";
import { errorTable } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const once = {
  kind: "non-idempotent",
  isResumable: false,
  maximumAttempts: 2,
} as const;
const often = {
  kind: "idempotent",
  isResumable: false,
  maximumAttempts: 2,
} as const;
const resumable = {
  kind: "stream",
  isResumable: true,
  maximumAttempts: 2,
} as const;

const broken: AttemptEnd = { kind: "broken", reason: "reset", isLost: true };
const notRun: AttemptEnd = {
  kind: "not-run",
  status: 503,
  faultyRunner: undefined,
};
const overdue: AttemptEnd = {
  kind: "given-up",
  wasSent: true,
  reason: "overdue",
};

function historyOf(fields: Partial<AttemptHistory>): AttemptHistory {
  return {
    route: once,
    sent: 1,
    unsent: 0,
    leftMs: 1000,
    hasStarted: false,
    mayHaveRun: true,
    mayRepeat: () => true,
    ...fields,
  };
}

function answerOf(status: number): AttemptEnd {
  const body = Buffer.alloc(0);
  const answer = { status, headers: {}, body, endMark: "length" } as const;
  return { kind: "answered", answer };
}

function outcomeOf(end: AttemptEnd, history: AttemptHistory): string {
  const step = nextStep(end, history);
  return step.kind === "fail" ? errorTable[step.error].outcome : step.kind;
}

describe("move of a running stream", () => {
  it("needs a stream that may go on elsewhere, and an attempt left", () => {
    assert.ok(mayMove(historyOf({ route: resumable, sent: 0 })));
    assert.not.ok(mayMove(historyOf({ route: resumable, sent: 1 })));
    assert.not.ok(mayMove(historyOf({ route: once, sent: 0 })));
  });

  it("takes its repeat out of the allowance before the stream is given up", () => {
    // Given up first and refused then, a stream that ran well would break off.
    const mayRepeat = (): boolean => false;
    const history = historyOf({ route: resumable, sent: 0, mayRepeat });
    assert.not.ok(mayMove(history));
    const end: AttemptEnd = { kind: "given-up", wasSent: true, reason: "slow" };
    assert.is(
      outcomeOf(end, historyOf({ route: resumable, mayRepeat })),
      "repeat",
    );
  });
});

describe("next step after an attempt", () => {
  describe("of a request that may not be repeated", () => {
    it("never sends it again when its connection broke", () => {
      // The runner got the request and the connection is reset: nobody can
      // tell whether it ran. A second send could draft the order twice.
      assert.is(outcomeOf(broken, historyOf({})), "unknown");
    });

    it("sends it elsewhere when the runner says that it has not run", () => {
      assert.is(outcomeOf(notRun, historyOf({ mayHaveRun: false })), "repeat");
    });

    it("says not run when every runner said so", () => {
      const history = historyOf({ mayHaveRun: false, sent: 2 });
      assert.is(outcomeOf(notRun, history), "not-run");
    });

    it("passes on the runner's own failure", () => {
      assert.is(outcomeOf(answerOf(500), historyOf({})), "deliver");
    });

    it("doesn't claim that it has not run when its time is over", () => {
      assert.is(outcomeOf(overdue, historyOf({})), "broken-off");
    });
  });

  describe("of an idempotent request", () => {
    it("tries another runner after a failure", () => {
      const history = historyOf({ route: often });
      assert.is(outcomeOf(answerOf(500), history), "repeat");
      assert.is(outcomeOf(broken, history), "repeat");
    });

    it("keeps to the attempts that the route allows", () => {
      const history = historyOf({ route: often, sent: 2 });
      assert.is(outcomeOf(answerOf(500), history), "deliver");
      assert.is(outcomeOf(broken, history), "unknown");
    });

    it("doesn't say not run after an attempt that may have run", () => {
      // First attempt: connection lost after sending. Second: refused as full.
      // The refusal covers the second one only.
      const history = historyOf({ route: often, sent: 2, mayHaveRun: true });
      assert.is(outcomeOf(notRun, history), "unknown");
    });

    it("takes no repeat when the allowance is used up", () => {
      const history = historyOf({ route: often, mayRepeat: () => false });
      assert.is(outcomeOf(answerOf(500), history), "deliver");
    });

    it("takes none when too little time is left to be of use", () => {
      const leftMs = LEAST_TIME_LEFT_MS - 1;
      const history = historyOf({ route: often, leftMs });
      assert.is(outcomeOf(broken, history), "unknown");
    });
  });

  describe("of a stream", () => {
    it("goes on elsewhere where the route allows it", () => {
      const history = historyOf({ route: resumable, hasStarted: true });
      assert.is(outcomeOf(broken, history), "repeat");
    });

    it("ends visibly broken where it can't go on", () => {
      const fixed = { ...resumable, isResumable: false };
      const history = historyOf({ route: fixed, hasStarted: true });
      assert.is(outcomeOf(broken, history), "break-off");
    });

    it("ends visibly broken where another runner answers with a failure", () => {
      // The caller has the first part of the stream. A failure of the runner
      // that was to go on was taken for an answer to pass on, which can't be
      // done behind events: the request ended in an exception, was counted as
      // answered, and kept its place at the gate for ever.
      for (const status of [400, 500]) {
        const answer = { status, headers: {}, body: Buffer.alloc(0) };
        const end: AttemptEnd = {
          kind: "answered",
          answer: { ...answer, endMark: "length" },
        };
        const history = { route: resumable, sent: 2, hasStarted: true };
        assert.is(nextStep(end, historyOf(history)).kind, "break-off");
      }
    });

    it("moves a stalled one, and fails it when it can't be moved", () => {
      const stalled: AttemptEnd = { ...overdue, reason: "stalled" };
      const history = historyOf({ route: resumable });
      assert.is(outcomeOf(stalled, history), "repeat");
      assert.is(outcomeOf(stalled, { ...history, sent: 2 }), "broken-off");
    });
  });
});
