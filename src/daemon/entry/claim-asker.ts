/** Asks an agent about an attempt that holds the claim of a repeated call. */
import { Metadata } from "@grpc/grpc-js";
import type { AttemptAnswer, ClaimEntry } from "../../internal.js";
import {
  AttemptKnowledge,
  ClaimsClient,
  type AskAttemptReply,
} from "../../wire/generated/claims.js";
import type { ProcessContext } from "../process-context.js";
import type { TransportSettings } from "../settings.js";
import { channelOptions, clientCredentials } from "../transport.js";

const ASK_TIMEOUT_MS = 500;

export interface ClaimAskerOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  /** host:port of an agent by its name; undefined when it isn't known. */
  readonly addressOf: (agent: string) => string | undefined;
}

/**
 * Every question has a connection of its own: questions are rare, and a session
 * that fell silent is a reason to ask.
 */
export async function askAgent(
  { context, transport, addressOf }: ClaimAskerOptions,
  claim: ClaimEntry,
  withdraw: boolean,
): Promise<AttemptAnswer> {
  const address = addressOf(claim.agent);
  if (address === undefined) return { kind: "unreachable" };
  const credentials = clientCredentials(transport, address);
  const client = new ClaimsClient(address, credentials, channelOptions);
  const { attempt, agentIncarnation } = claim;
  const clock = context.clock.read();
  const request = { clock, attempt, agentIncarnation, withdraw };
  const deadline = Date.now() + ASK_TIMEOUT_MS;
  const reply = await new Promise<AskAttemptReply | undefined>((resolve) => {
    client.askAttempt(request, new Metadata(), { deadline }, (error, value) => {
      resolve(error === null ? value : undefined);
    });
  });
  client.close();
  context.clock.observe(reply?.clock);
  return answerOf(reply?.knowledge);
}

function answerOf(knowledge: AttemptKnowledge | undefined): AttemptAnswer {
  switch (knowledge) {
    case AttemptKnowledge.ATTEMPT_KNOWLEDGE_STARTED:
      return { kind: "started" };
    case AttemptKnowledge.ATTEMPT_KNOWLEDGE_ANSWER_GONE:
      return { kind: "answer-gone" };
    case AttemptKnowledge.ATTEMPT_KNOWLEDGE_WAITING:
      return { kind: "waiting" };
    case AttemptKnowledge.ATTEMPT_KNOWLEDGE_WITHDRAWN:
      return { kind: "tombstoned" };
    case AttemptKnowledge.ATTEMPT_KNOWLEDGE_FORGOTTEN:
      return { kind: "forgotten" };
    case AttemptKnowledge.ATTEMPT_KNOWLEDGE_OTHER_INCARNATION:
      return { kind: "other-incarnation" };
    case AttemptKnowledge.ATTEMPT_KNOWLEDGE_UNSPECIFIED:
    case AttemptKnowledge.UNRECOGNIZED:
    case undefined:
      return { kind: "unreachable" };
  }
}
