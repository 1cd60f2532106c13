/**
 * Asks an agent for the state of the attempt that holds a repeated call's
 * claim.
 */
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

const QUERY_TIMEOUT_MS = 500;

export interface AttemptQueryOptions {
  readonly context: ProcessContext;
  readonly transport: TransportSettings;
  /** Returns an agent's host:port by its name; undefined if it isn't known. */
  readonly addressOf: (agent: string) => string | undefined;
}

/**
 * Opens a connection per query: queries are rare, and often made because the
 * session to the agent is unresponsive.
 */
export async function queryAttempt(
  { context, transport, addressOf }: AttemptQueryOptions,
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
  const deadline = Date.now() + QUERY_TIMEOUT_MS;
  const reply = await new Promise<AskAttemptReply | undefined>((resolve) => {
    client.askAttempt(request, new Metadata(), { deadline }, (error, value) => {
      resolve(error === null ? value : undefined);
    });
  });
  client.close();
  context.clock.observe(reply?.clock);
  return readKnowledge(reply?.knowledge);
}

function readKnowledge(knowledge: AttemptKnowledge | undefined): AttemptAnswer {
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
