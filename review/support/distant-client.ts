/**
 * A client some milliseconds away that opens a connection for each request. Its
 * first bytes arrive one round trip after the connection was accepted.
 */
import { connect } from "node:net";
import { CREDENTIAL, HOSTNAME } from "./platform.js";

/** 3 ms one way, as on the sheet. */
const ROUND_TRIP_MS = 6;

export interface DistantRequest {
  readonly port: number;
  readonly path: string;
  readonly attemptId: string;
  readonly deadlineMs: number;
  readonly body: string;
}

/** Resolves with the status; 0 if there was none until the deadline. */
export function sendFromAfar(request: DistantRequest): Promise<number> {
  const { port, path, attemptId, deadlineMs, body } = request;
  const lines = [
    `POST ${path} HTTP/1.1`,
    `host: ${HOSTNAME}`,
    `apricotdeck-attempt-id: ${attemptId}`,
    `apricotdeck-credential: ${CREDENTIAL}`,
    `apricotdeck-deadline-ms: ${deadlineMs}`,
    "connection: close",
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  return new Promise((resolve) => {
    let answer = "";
    const socket = connect({ host: "127.0.0.1", port });
    const finish = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0));
    };
    const timer = setTimeout(finish, deadlineMs);
    socket.once("connect", () => {
      setTimeout(() => {
        socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
      }, ROUND_TRIP_MS);
    });
    socket.on("data", (data) => {
      answer += data.toString();
    });
    socket.once("error", finish);
    socket.once("close", finish);
  });
}
