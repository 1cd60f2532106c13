import * as assert from "uvu/assert";
import {
  MINIMUM_RETRY_TIME_MS,
  tryMoveStream,
  nextStep,
  type AttemptHistory,
} from "../../src/direct/next-step.js";
import type { AttemptEnd } from "../../src/direct/types.js";
import { errorTable } from "../../src/internal.js";
import { describe, it } from "../support/describe.js";

const nonIdempotent = {
  kind: "non-idempotent",
  isResumable: false,
  maximumAttempts: 2,
} as const;
const idempotent = {
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
  asksForRest: false,
  faultyRunner: undefined,
};
const overdue: AttemptEnd = {
  kind: "given-up",
  wasSent: true,
  reason: "overdue",
};

function historyOf(fields: Partial<AttemptHistory>): AttemptHistory {
  return {
    route: nonIdempotent,
    sentAttempts: 1,
    unsentAttempts: 0,
    remainingMs: 1000,
    hasStreamStarted: false,
    mayHaveRun: true,
    tryTakeRetry: () => true,
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

describe("request that was kept from a runner that rests or leaves", () => {
  const withheld: AttemptEnd = {
    kind: "unsent",
    reason: "withheld",
    cause: "withheld",
  };

  it("goes to another runner without a retry from the budget", () => {
    // Guards against retries that are used up by requests that weren't sent.
    const history = historyOf({
      sentAttempts: 0,
      mayHaveRun: false,
      tryTakeRetry: () => false,
    });
    assert.is(outcomeOf(withheld, history), "repeat");
  });

  it("isn't sent again without attempts or time left", () => {
    const fields = { mayHaveRun: false } as const;
    const used = historyOf({ ...fields, sentAttempts: 2 });
    assert.is(outcomeOf(withheld, used), "not-run");
    const late = historyOf({ ...fields, remainingMs: 1 });
    assert.is(outcomeOf(withheld, late), "not-run");
  });
});

describe("move of a running stream", () => {
  it("requires a resumable stream and a remaining attempt", () => {
    assert.ok(tryMoveStream(historyOf({ route: resumable, sentAttempts: 0 })));
    assert.not.ok(
      tryMoveStream(historyOf({ route: resumable, sentAttempts: 1 })),
    );
    assert.not.ok(
      tryMoveStream(historyOf({ route: nonIdempotent, sentAttempts: 0 })),
    );
  });

  it("takes its retry from the budget before the stream is given up", () => {
    // If the retry were refused after the attempt was given up, a stream that
    // ran well would break off.
    const tryTakeRetry = (): boolean => false;
    const history = historyOf({
      route: resumable,
      sentAttempts: 0,
      tryTakeRetry,
    });
    assert.not.ok(tryMoveStream(history));
    const end: AttemptEnd = { kind: "given-up", wasSent: true, reason: "slow" };
    assert.is(
      outcomeOf(end, historyOf({ route: resumable, tryTakeRetry })),
      "repeat",
    );
  });
});

describe("next step after an attempt", () => {
  describe("of a non-idempotent request", () => {
    it("doesn't resend it after its connection was lost", () => {
      // The runner may have received the request before the connection was
      // reset, so whether it ran is unknown. Sending it again could run it
      // twice.
      assert.is(outcomeOf(broken, historyOf({})), "unknown");
    });

    it("retries it elsewhere if the runner states that it hasn't run it", () => {
      assert.is(outcomeOf(notRun, historyOf({ mayHaveRun: false })), "repeat");
    });

    it("reports not-run if every runner stated so", () => {
      const history = historyOf({ mayHaveRun: false, sentAttempts: 2 });
      assert.is(outcomeOf(notRun, history), "not-run");
    });

    it("forwards the runner's error response", () => {
      assert.is(outcomeOf(answerOf(500), historyOf({})), "deliver");
    });

    it("doesn't report not-run after its deadline", () => {
      assert.is(outcomeOf(overdue, historyOf({})), "broken-off");
    });
  });

  describe("of an idempotent request", () => {
    it("retries at another runner after a failure", () => {
      const history = historyOf({ route: idempotent });
      assert.is(outcomeOf(answerOf(500), history), "repeat");
      assert.is(outcomeOf(broken, history), "repeat");
    });

    it("respects the route's maximum number of attempts", () => {
      const history = historyOf({ route: idempotent, sentAttempts: 2 });
      assert.is(outcomeOf(answerOf(500), history), "deliver");
      assert.is(outcomeOf(broken, history), "unknown");
    });

    it("doesn't report not-run after an attempt that may have run", () => {
      // The first attempt lost its connection after sending, the second was
      // refused as full. The refusal covers only the second one.
      const history = historyOf({
        route: idempotent,
        sentAttempts: 2,
        mayHaveRun: true,
      });
      assert.is(outcomeOf(notRun, history), "unknown");
    });

    it("doesn't retry if the retry budget is used up", () => {
      const history = historyOf({
        route: idempotent,
        tryTakeRetry: () => false,
      });
      assert.is(outcomeOf(answerOf(500), history), "deliver");
    });

    it("doesn't retry if too little time is left", () => {
      const remainingMs = MINIMUM_RETRY_TIME_MS - 1;
      const history = historyOf({ route: idempotent, remainingMs });
      assert.is(outcomeOf(broken, history), "unknown");
    });
  });

  describe("of a stream", () => {
    it("resumes at another runner if the route allows it", () => {
      const history = historyOf({ route: resumable, hasStreamStarted: true });
      assert.is(outcomeOf(broken, history), "repeat");
    });

    it("is broken off if it can't be resumed", () => {
      const nonResumable = { ...resumable, isResumable: false };
      const history = historyOf({
        route: nonResumable,
        hasStreamStarted: true,
      });
      assert.is(outcomeOf(broken, history), "break-off");
    });

    it("is broken off if the next runner responds with an error", () => {
      // The caller has received the first events of the stream. If the error
      // response of the next runner is forwarded after them, the request ends
      // in an exception, is counted as answered and keeps its admission for
      // ever.
      for (const status of [400, 500]) {
        const answer = { status, headers: {}, body: Buffer.alloc(0) };
        const end: AttemptEnd = {
          kind: "answered",
          answer: { ...answer, endMark: "length" },
        };
        const history = {
          route: resumable,
          sentAttempts: 2,
          hasStreamStarted: true,
        };
        assert.is(nextStep(end, historyOf(history)).kind, "break-off");
      }
    });

    it("continues elsewhere once its retry was taken", () => {
      const takeNone = { tryTakeRetry: () => false };
      const history = historyOf({ route: resumable, ...takeNone });
      for (const reason of ["stalled", "slow"] as const) {
        assert.is(outcomeOf({ ...overdue, reason }, history), "repeat");
      }
    });

    // Guards against a running stream that is given up although nothing can
    // replace it.
    it("may not be moved without another attempt, a retry or enough time", () => {
      const history = historyOf({ route: resumable, sentAttempts: 0 });
      assert.ok(tryMoveStream(history));
      const hindrances: readonly Partial<AttemptHistory>[] = [
        { route: { ...resumable, isResumable: false } },
        { sentAttempts: 1 },
        { tryTakeRetry: () => false },
        { remainingMs: MINIMUM_RETRY_TIME_MS - 1 },
      ];
      for (const hindrance of hindrances) {
        assert.not.ok(tryMoveStream({ ...history, ...hindrance }));
      }
    });
  });
});
