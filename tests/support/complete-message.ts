/** Reads raw responses as a caller does whose connection has been closed. */

const HEAD_END = "\r\n\r\n";

export interface ReadMessage {
  /**
   * Whether a regular close of the connection at this point ends the response
   * as a complete one.
   */
  readonly isComplete: boolean;
  readonly status: number;
  readonly body: string;
}

/** `text`: all bytes of one response that have arrived, in Latin-1. */
export function readMessage(text: string): ReadMessage {
  const headLength = text.indexOf(HEAD_END);
  if (headLength < 0) return { isComplete: false, status: 0, body: "" };
  const head = text.slice(0, headLength).toLowerCase();
  const status = Number(head.split(" ")[1]);
  const payload = text.slice(headLength + HEAD_END.length);
  if (head.includes("\r\ntransfer-encoding: chunked")) {
    return { status, ...readChunks(payload) };
  }
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  const isComplete = length === undefined || payload.length >= Number(length);
  return { status, isComplete, body: payload };
}

function readChunks(payload: string): Omit<ReadMessage, "status"> {
  let body = "";
  let rest = payload;
  for (;;) {
    const lineEnd = rest.indexOf("\r\n");
    if (lineEnd < 0) return { isComplete: false, body };
    const size = Number.parseInt(rest.slice(0, lineEnd), 16);
    const data = rest.slice(lineEnd + 2);
    if (data.length < size + 2) return { isComplete: false, body };
    if (size === 0) return { isComplete: true, body };
    body += data.slice(0, size);
    rest = data.slice(size + 2);
  }
}
