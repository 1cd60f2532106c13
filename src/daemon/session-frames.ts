/** Converts the frames of a session to and from their wire format. */
import {
  isErrorNumber,
  type AgentFrame,
  type CloseReply,
  type EntryFrame,
  type ErrorNumber,
} from "../internal.js";
import type {
  AgentFrame as AgentMessage,
  CloseSessionReply,
  EntryFrame as EntryMessage,
} from "../wire/generated/session.js";

type EntryBody = EntryMessage["body"];
type AgentBody = AgentMessage["body"];

const NO_CLOCK = undefined;

export function writeEntryFrame(frame: EntryFrame): EntryMessage {
  return { body: entryBody(frame) };
}

function entryBody(frame: EntryFrame): EntryBody {
  switch (frame.kind) {
    case "open":
      return { $case: "open", value: frame };
    case "dispatch": {
      const { call, sequence, attempt, fromIndex, resumeOf } = frame;
      const body = asBuffer(call.body);
      const deadlineMs = Math.round(frame.deadlineMs);
      const rest = { sequence, attempt, fromIndex, resumeOf, deadlineMs, body };
      return { $case: "dispatch", value: { ...call, ...rest } };
    }
    case "cancel":
      return { $case: "cancel", value: frame };
    case "heartbeat":
      return { $case: "heartbeat", value: { sequence: 0, ...frame } };
  }
}

/** Undefined for a frame kind unknown to this release. */
export function readEntryFrame({ body }: EntryMessage): EntryFrame | undefined {
  switch (body?.$case) {
    case "open":
      return { kind: "open", ...body.value };
    case "dispatch": {
      const { sequence, attempt, fromIndex, resumeOf, deadlineMs, ...call } =
        body.value;
      const kind = "dispatch";
      return { kind, sequence, attempt, fromIndex, resumeOf, deadlineMs, call };
    }
    case "cancel":
      return { kind: "cancel", ...body.value };
    case "heartbeat":
      return { kind: "heartbeat", ...body.value };
    case undefined:
      return undefined;
  }
}

export function writeAgentFrame(frame: AgentFrame): AgentMessage {
  return { body: agentBody(frame) };
}

function agentBody(frame: AgentFrame): AgentBody {
  switch (frame.kind) {
    case "piece": {
      const { attempt, index, data } = frame;
      const value = { attempt, index, data: asBuffer(data) };
      return { $case: "piece", value };
    }
    case "opened":
      return { $case: "opened", value: frame };
    case "started":
      return { $case: "started", value: frame };
    case "head": {
      const { isEndMarked: endMarked, ...value } = frame;
      return { $case: "head", value: { ...value, endMarked } };
    }
    case "end": {
      const { isEndMarked: vouched, ...value } = frame;
      return { $case: "end", value: { ...value, vouched } };
    }
    case "refused":
      return { $case: "refused", value: frame };
    case "broken":
      return { $case: "broken", value: frame };
    case "heartbeat":
      return {
        $case: "heartbeat",
        value: { sequence: 0, settledBelow: 0, leavingSeen: false },
      };
    case "load":
      return { $case: "load", value: frame.report };
    case "leaving":
      return { $case: "leaving", value: frame };
  }
}

/** Undefined for a frame kind unknown to this release. */
export function readAgentFrame({ body }: AgentMessage): AgentFrame | undefined {
  switch (body?.$case) {
    case "piece": {
      const { attempt, index, data } = body.value;
      return { kind: "piece", attempt, index, data };
    }
    case "opened": {
      const { session, runner, group } = body.value;
      if (session === undefined) return undefined;
      return { kind: "opened", session, runner, group };
    }
    case "started":
      return { kind: "started", ...body.value };
    case "head": {
      const { endMarked: isEndMarked, ...value } = body.value;
      return { kind: "head", ...value, isEndMarked };
    }
    case "end": {
      const { vouched: isEndMarked, ...value } = body.value;
      return { kind: "end", ...value, isEndMarked };
    }
    case "refused":
      return {
        kind: "refused",
        ...body.value,
        error: knownErrorNumber(body.value),
      };
    case "broken":
      return {
        kind: "broken",
        ...body.value,
        error: knownErrorNumber(body.value),
      };
    case "heartbeat":
      return { kind: "heartbeat" };
    case "load":
      return { kind: "load", report: body.value };
    case "leaving":
      return { kind: "leaving", graceMs: body.value.graceMs };
    case undefined:
      return undefined;
  }
}

export function writeCloseReply(reply: CloseReply): CloseSessionReply {
  return { clock: NO_CLOCK, ...reply };
}

/** Maps an error number of a newer release to 1215, the internal failure. */
function knownErrorNumber({ error }: { readonly error: number }): ErrorNumber {
  return isErrorNumber(error) ? error : 1215;
}

function asBuffer(data: Uint8Array): Buffer {
  if (Buffer.isBuffer(data)) return data;
  return Buffer.from(data.buffer, data.byteOffset, data.byteLength);
}
