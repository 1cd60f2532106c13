/** What clients do that keep to no limits, and the same within the limits. */
import type { ClientBehaviour } from "./crowd.js";

const KIB = 1024;
const MIB = 1024 * KIB;

/** Limit for a body in the tests' settings, bytes. */
export const BODY_LIMIT_BYTES = 4 * MIB;
/** Just under the limit, bytes. */
export const LARGE_BODY_BYTES = Math.floor(3.9 * MIB);
const OVER_LIMIT_BYTES = 2 * BODY_LIMIT_BYTES;
const ANNOUNCED_BYTES = 1024 * MIB;
const PIECE_BYTES = 64 * KIB;
/** Limit for a request's head in the tests' settings, bytes. */
export const HEAD_LIMIT_BYTES = 16 * KIB;
const UNENDED_HEAD_BYTES = 60 * KIB;
const PIPELINED_REQUESTS = 20_000;

/** Lines of a request's head, without its framing and its end. */
export type HeadLines = (id: string) => readonly string[];

const text = (lines: readonly string[]): string => `${lines.join("\r\n")}\r\n`;

const chunkOf = (bytes: number): string =>
  `${bytes.toString(16)}\r\n${"a".repeat(bytes)}\r\n`;

const LAST_CHUNK = "0\r\n\r\n";

/** Sends the piece until `bytes` were sent or the server reads no more. */
async function sendRepeatedly(
  send: (piece: string) => Promise<boolean>,
  piece: string,
  times: number,
): Promise<boolean> {
  const batch = Math.max(1, Math.floor(PIECE_BYTES / piece.length));
  for (let sent = 0; sent < times; sent += batch) {
    if (!(await send(piece.repeat(Math.min(batch, times - sent)))))
      return false;
  }
  return true;
}

export interface Behaviours {
  /** A whole body, of a size within the limit, in chunks of `bytes`. */
  readonly chunked: (chunkBytes: number) => ClientBehaviour;
  /** A body of `bytes` that is announced with its length. */
  readonly whole: (bytes: number) => ClientBehaviour;
  /** A body that is announced and not sent to its end. */
  readonly stopped: ClientBehaviour;
  /** A body over the limit that announces its length. */
  readonly announced: ClientBehaviour;
  /** A body over the limit that announces nothing. */
  readonly endless: ClientBehaviour;
  /** Requests, each sent without waiting for the answer to the one before. */
  readonly pipelined: (requests?: number) => ClientBehaviour;
  /** A head that never ends. */
  readonly unendedHead: ClientBehaviour;
  /** A body within the limit; the client leaves when it is sent. */
  readonly leaving: ClientBehaviour;
  readonly silent: ClientBehaviour;
}

export function createBehaviours(headLines: HeadLines): Behaviours {
  const head = (id: string, framing: string): string =>
    `${text([...headLines(id), framing])}\r\n`;
  const headOfLength = (id: string, bytes: number): string =>
    head(id, `content-length: ${bytes}`);
  const headOfChunks = (id: string): string =>
    head(id, "transfer-encoding: chunked");
  const sendBody = async (
    client: Parameters<ClientBehaviour>[0],
    bytes: number,
  ): Promise<boolean> => {
    const rest = bytes % PIECE_BYTES;
    const pieces = (bytes - rest) / PIECE_BYTES;
    const piece = "a".repeat(PIECE_BYTES);
    const isSent = await sendRepeatedly(
      (data) => client.send(data),
      piece,
      pieces,
    );
    return isSent && (rest === 0 || client.send("a".repeat(rest)));
  };
  return {
    chunked: (chunkBytes) => async (client, index) => {
      client.read();
      await client.send(headOfChunks(`chunked-${index}`));
      const chunk = chunkOf(chunkBytes);
      const chunks = Math.floor(LARGE_BODY_BYTES / chunkBytes);
      await sendRepeatedly((piece) => client.send(piece), chunk, chunks);
      await client.send(LAST_CHUNK);
    },
    whole: (bytes) => async (client, index) => {
      client.read();
      await client.send(headOfLength(`whole-${index}`, bytes));
      await sendBody(client, bytes);
    },
    stopped: async (client, index) => {
      client.read();
      await client.send(headOfLength(`stopped-${index}`, BODY_LIMIT_BYTES));
      await sendBody(client, LARGE_BODY_BYTES);
    },
    announced: async (client, index) => {
      client.read();
      await client.send(headOfLength(`announced-${index}`, ANNOUNCED_BYTES));
      await sendBody(client, OVER_LIMIT_BYTES);
    },
    endless: async (client, index) => {
      client.read();
      await client.send(headOfChunks(`endless-${index}`));
      const chunks = OVER_LIMIT_BYTES / PIECE_BYTES;
      const chunk = chunkOf(PIECE_BYTES);
      await sendRepeatedly((piece) => client.send(piece), chunk, chunks);
    },
    pipelined:
      (requests = PIPELINED_REQUESTS) =>
      async (client, index) => {
        const request = headOfLength(`pipelined-${index}`, 0);
        await sendRepeatedly((piece) => client.send(piece), request, requests);
      },
    unendedHead: async (client, index) => {
      const start = text(headLines(`unended-${index}`));
      await client.send(start);
      const line = "aa: 0123456789ab\r\n";
      const lines = Math.floor(
        (UNENDED_HEAD_BYTES - start.length) / line.length,
      );
      await sendRepeatedly((piece) => client.send(piece), line, lines);
    },
    leaving: async (client, index) => {
      await client.send(headOfLength(`leaving-${index}`, LARGE_BODY_BYTES));
      await sendBody(client, LARGE_BODY_BYTES);
      client[Symbol.dispose]();
    },
    silent: () => Promise.resolve(),
  };
}
