/**
 * Checks with a separate connection whether a process listens at an address.
 */
import { connect } from "node:net";
import type { PortState } from "../suspects/crash-detector.js";
import { hostPortOf } from "./settings.js";

/** Connection timeout, ms. It is short because a caller is waiting. */
const CONNECT_TIMEOUT_MS = 150;
/** Error codes that show that no process listens at the port. */
const CLOSED_PORT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "ECONNRESET",
]);

/** `address`: host:port. */
export function portState(address: string): Promise<PortState> {
  return new Promise((resolve) => {
    const socket = connect(hostPortOf(address));
    const settle = (state: PortState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      settle("silent");
    });
    socket.once("connect", () => {
      settle("open");
    });
    socket.once("error", ({ code = "" }: NodeJS.ErrnoException) => {
      settle(CLOSED_PORT_ERROR_CODES.has(code) ? "closed" : "silent");
    });
  });
}
