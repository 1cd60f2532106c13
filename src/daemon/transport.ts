/** Channel options and credentials of connections between daemons. */
import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import {
  ChannelCredentials,
  ServerCredentials,
  type ChannelOptions,
} from "@grpc/grpc-js";
import { raise } from "../internal.js";
import type { TransportSettings } from "./settings.js";

interface KeyMaterial {
  readonly certificate: Buffer;
  readonly key: Buffer;
  readonly authority: Buffer;
}

const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;
const KEEPALIVE_INTERVAL_MS = 2000;
const KEEPALIVE_TIMEOUT_MS = 2000;

export const channelOptions: ChannelOptions = {
  "grpc.max_receive_message_length": MAXIMUM_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAXIMUM_MESSAGE_BYTES,
  // With a shared subchannel, a client created to replace one whose connection
  // doesn't respond would use the same socket.
  "grpc.use_local_subchannel_pool": 1,
  // A network device between two daemons can lose the state of a connection:
  // the socket stays open and accepts writes, but every call on it runs into
  // its deadline. An unanswered ping closes the connection, and the next call
  // opens a new one, so a peer is unreachable for at most four seconds.
  "grpc.keepalive_time_ms": KEEPALIVE_INTERVAL_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.keepalive_permit_without_calls": 1,
};

export function clientCredentials(
  settings: TransportSettings,
  address: string,
): ChannelCredentials {
  const material = readKeyMaterial(settings);
  if (material === undefined) {
    assertPlaintextAllowed(settings, address);
    return ChannelCredentials.createInsecure();
  }
  const { authority, key, certificate } = material;
  return ChannelCredentials.createSsl(authority, key, certificate);
}

export function serverCredentials(
  settings: TransportSettings,
  address: string,
): ServerCredentials {
  const material = readKeyMaterial(settings);
  if (material === undefined) {
    assertPlaintextAllowed(settings, address);
    return ServerCredentials.createInsecure();
  }
  const pair = {
    private_key: material.key,
    cert_chain: material.certificate,
  };
  return ServerCredentials.createSsl(material.authority, [pair], true);
}

/** Refuses by default to send answers over a network unencrypted. */
function assertPlaintextAllowed(
  settings: TransportSettings,
  address: string,
): void {
  if (settings.allowPlaintext || isLoopback(address)) return;
  raise(1003, { address });
}

function isLoopback(address: string): boolean {
  const host = address.replace(/:\d+$/, "").replace(/^\[(.*)\]$/, "$1");
  if (host === "localhost" || host === "::1") return true;
  return isIP(host) === 4 && host.startsWith("127.");
}

function readKeyMaterial(settings: TransportSettings): KeyMaterial | undefined {
  const { certificateFile, keyFile, authorityFile } = settings;
  const files = [certificateFile, keyFile, authorityFile];
  if (files.every((file) => file === undefined)) return undefined;
  const [certificate, key, authority] = files.map(readKeyFile);
  return { certificate, key, authority };
}

function readKeyFile(file: string | undefined): Buffer {
  if (file === undefined) {
    return raise(1002, {
      path: "transport",
      expected: "certificateFile, keyFile and authorityFile together",
    });
  }
  try {
    return readFileSync(file);
  } catch (error) {
    return raise(1001, { file }, error);
  }
}
