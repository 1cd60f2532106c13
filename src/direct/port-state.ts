/** Looks whether anything listens at an address, over a connection of its own. */
import { connect } from "node:net";
import type { PortState } from "../suspects/crash-watch.js";
import { hostPortOf } from "./settings.js";

/** Whoever takes longer is out of reach, ms; a caller is waiting. */
const CONNECT_TIMEOUT_MS = 150;
/** Codes with which the system says that nobody listens. */
const CLOSED: ReadonlySet<string> = new Set(["ECONNREFUSED", "ECONNRESET"]);

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
      settle(CLOSED.has(code) ? "closed" : "silent");
    });
  });
}
