/**
 * Tells entries that repeat a call the state of the attempt holding its claim.
 */
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import type { AttemptAnswer, AttemptQuery } from "../../internal.js";
import {
  AttemptKnowledge,
  type AskAttemptReply,
  type AskAttemptRequest,
  type ClaimsServer,
} from "../../wire/generated/claims.js";
import type { ProcessContext } from "../process-context.js";

export function createClaimService(
  context: ProcessContext,
  answer: (query: AttemptQuery) => AttemptAnswer,
): ClaimsServer {
  return {
    askAttempt: (
      { request }: ServerUnaryCall<AskAttemptRequest, AskAttemptReply>,
      reply: sendUnaryData<AskAttemptReply>,
    ) => {
      const { clock, attempt, agentIncarnation } = request;
      context.clock.observe(clock);
      const tombstone = request.withdraw;
      const query = { attempt, agentIncarnation, tombstone };
      const knowledge = knowledgeByAnswer[answer(query).kind];
      reply(null, { clock: context.clock.read(), knowledge });
    },
  };
}

const knowledgeByAnswer: Readonly<
  Record<AttemptAnswer["kind"], AttemptKnowledge>
> = {
  started: AttemptKnowledge.ATTEMPT_KNOWLEDGE_STARTED,
  "answer-gone": AttemptKnowledge.ATTEMPT_KNOWLEDGE_ANSWER_GONE,
  waiting: AttemptKnowledge.ATTEMPT_KNOWLEDGE_WAITING,
  tombstoned: AttemptKnowledge.ATTEMPT_KNOWLEDGE_WITHDRAWN,
  forgotten: AttemptKnowledge.ATTEMPT_KNOWLEDGE_FORGOTTEN,
  "other-incarnation": AttemptKnowledge.ATTEMPT_KNOWLEDGE_OTHER_INCARNATION,
  unreachable: AttemptKnowledge.ATTEMPT_KNOWLEDGE_UNSPECIFIED,
};
