/** How many connections a process may accept with the descriptors it has. */
import { readFileSync } from "node:fs";

/** Connections to each listener that isn't meant for callers. */
export const SMALL_LISTENER_CONNECTIONS = 64;
/** Such listeners of one process. */
const SMALL_LISTENERS = 2;
/** Files, listening sockets, and connections to the platform. */
const OWN_DESCRIPTORS = 256;
/** Least share of the descriptors that is left for accepted connections. */
const LEAST_SHARE = 0.5;
/** Where the limit isn't known. */
const DEFAULT_DESCRIPTORS = 1024;
const LIMITS_FILE = "/proc/self/limits";

export interface DescriptorUse {
  readonly descriptors: number;
  /** Descriptors for connections that the process opens itself. */
  readonly outgoing: number;
}

/** The process's own connections come first, up to half of the descriptors. */
export function acceptedConnectionLimit(use: DescriptorUse): number {
  const reserved =
    OWN_DESCRIPTORS +
    SMALL_LISTENERS * SMALL_LISTENER_CONNECTIONS +
    use.outgoing;
  const least = Math.floor(use.descriptors * LEAST_SHARE);
  return Math.max(least, use.descriptors - reserved);
}

/** Descriptors that the process may open, by its settings or its limit. */
export function descriptorsOf({
  descriptors,
}: {
  readonly descriptors?: number | undefined;
}): number {
  return descriptors ?? readLimit() ?? DEFAULT_DESCRIPTORS;
}

function readLimit(): number | undefined {
  try {
    const text = readFileSync(LIMITS_FILE, "utf8");
    const limit = /Max open files\s+(\d+)/.exec(text)?.[1];
    return limit === undefined ? undefined : Number(limit);
  } catch {
    // Only Linux has this file.
    return undefined;
  }
}
