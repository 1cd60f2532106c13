/** A client that reads its response slowly, over a connection of its own. */
import { connect } from "node:net";
import { CREDENTIAL, HOSTNAME } from "./platform.js";

export interface SlowReading {
  readonly attemptId: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 without a response. */
  readonly status: number;
  readonly hasLength: boolean;
  readonly bodyBytes: number;
  /** Whether the connection ended in order rather than by a reset. */
  readonly hasRegularEnd: boolean;
}

export interface SlowReadingOptions {
  readonly port: number;
  readonly path: string;
  readonly attemptId: string;
  readonly deadlineMs: number;
}

/** About 64 kB, what Node.js buffers of a socket, are read at a time. */
const READ_INTERVAL_MS = 30;
const HEAD_END = "\r\n\r\n";

export function readSlowly(options: SlowReadingOptions): Promise<SlowReading> {
  const { port, path, attemptId, deadlineMs } = options;
  return new Promise((resolve) => {
    const socket = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
    const sentAtMs = performance.now();
    let head = "";
    let isHeadRead = false;
    let bodyBytes = 0;
    let isOver = false;
    const timer = setInterval(() => {
      onData(socket.read() as Buffer | null);
    }, READ_INTERVAL_MS);
    const onData = (data: Buffer | null): void => {
      if (data === null) return;
      if (isHeadRead) {
        bodyBytes += data.length;
        return;
      }
      head += data.toString("latin1");
      const end = head.indexOf(HEAD_END);
      if (end < 0) return;
      isHeadRead = true;
      bodyBytes += head.length - end - HEAD_END.length;
      head = head.slice(0, end);
    };
    const finish = (hasRegularEnd: boolean): void => {
      if (isOver) return;
      isOver = true;
      clearInterval(timer);
      socket.destroy();
      resolve({
        attemptId,
        sentAtMs,
        endedAtMs: performance.now(),
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0),
        hasLength: /\r\n(?:content-length|transfer-encoding):/i.test(head),
        bodyBytes,
        hasRegularEnd,
      });
    };
    socket.once("error", () => {
      finish(false);
    });
    socket.once("end", () => {
      // A reset that arrives together with data is reported as an end too; only
      // a write fails then.
      socket.write("\n", (error) => {
        finish(!(error instanceof Error));
      });
    });
    const lines = [
      `POST ${path} HTTP/1.1`,
      `host: ${HOSTNAME}`,
      `apricotdeck-attempt-id: ${attemptId}`,
      `apricotdeck-credential: ${CREDENTIAL}`,
      `apricotdeck-deadline-ms: ${deadlineMs}`,
      "content-length: 0",
    ];
    socket.write(`${lines.join("\r\n")}${HEAD_END}`);
  });
}
