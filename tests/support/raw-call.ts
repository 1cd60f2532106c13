/** Sends raw bytes to a server, to test its reaction to malformed requests. */
import { connect } from "node:net";

export interface RawAnswer {
  readonly status: number;
  readonly text: string;
}

/** Resolves with all that was received once the connection is closed. */
export function sendRaw(
  address: string,
  parts: readonly string[],
): Promise<RawAnswer> {
  const [host = "", port = "0"] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    let text = "";
    socket.on("data", (data) => {
      text += data.toString();
    });
    socket.on("error", reject);
    socket.on("close", () => {
      const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
      resolve({ status, text });
    });
    for (const part of parts) socket.write(part);
  });
}
