/** A client of HTTP/2 that chooses the size of its data frames. */
import { pause } from "../support/wait.js";
import type { Client, ClientBehaviour } from "./crowd.js";

const PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const FRAME_HEADER_BYTES = 9;
const INITIAL_WINDOW_BYTES = 65_535;
const STREAM = 1;
const END_HEADERS = 0x04;
const ACKNOWLEDGED = 0x01;
const MESSAGE_HEADER_BYTES = 5;
const BATCH_BYTES = 64 * 1024;
/** Setting that names the window of a new stream. */
const INITIAL_WINDOW_SETTING = 4;
const SETTING_BYTES = 6;
const POLL_INTERVAL_MS = 10;
/** Polls without a window after which the server reads no more. */
const IDLE_POLLS = 200;

const frameTypes = {
  data: 0,
  headers: 1,
  settings: 4,
  ping: 6,
  windowUpdate: 8,
} as const;

function frame(
  type: number,
  flags: number,
  stream: number,
  payload: Buffer,
): Buffer {
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUIntBE(payload.length, 0, 3);
  header.writeUInt8(type, 3);
  header.writeUInt8(flags, 4);
  header.writeUInt32BE(stream, 5);
  return Buffer.concat([header, payload]);
}

/** Header fields as literals that neither side indexes. */
function headerBlock(fields: Readonly<Record<string, string>>): Buffer {
  const parts = Object.entries(fields).flatMap(([name, value]) => [
    Buffer.from([0, name.length]),
    Buffer.from(name),
    Buffer.from([value.length]),
    Buffer.from(value),
  ]);
  return Buffer.concat(parts);
}

/** Follows the bytes that the server allows this side to send. */
class SendWindows {
  private connectionBytes = INITIAL_WINDOW_BYTES;
  private streamBytes = INITIAL_WINDOW_BYTES;
  private initialBytes = INITIAL_WINDOW_BYTES;
  private received = Buffer.alloc(0);

  private constructor(private readonly client: Client) {
    client.socket.on("data", (data: Buffer) => {
      this.received = Buffer.concat([this.received, data]);
      this.readFrames();
    });
  }

  static create(client: Client): SendWindows {
    return new SendWindows(client);
  }

  /** Returns the bytes that may be sent now: whole frames, up to `bytes`. */
  take(bytes: number, frameBytes: number): number {
    const allowed = Math.min(bytes, this.connectionBytes, this.streamBytes);
    const taken = Math.floor(allowed / frameBytes) * frameBytes;
    if (taken <= 0) return 0;
    this.connectionBytes -= taken;
    this.streamBytes -= taken;
    return taken;
  }

  private readFrames(): void {
    for (;;) {
      if (this.received.length < FRAME_HEADER_BYTES) return;
      const end = FRAME_HEADER_BYTES + this.received.readUIntBE(0, 3);
      if (this.received.length < end) return;
      const type = this.received.readUInt8(3);
      const flags = this.received.readUInt8(4);
      const stream = this.received.readUInt32BE(5);
      const payload = this.received.subarray(FRAME_HEADER_BYTES, end);
      this.received = this.received.subarray(end);
      this.onFrame(type, flags, stream, payload);
    }
  }

  private onFrame(
    type: number,
    flags: number,
    stream: number,
    payload: Buffer,
  ): void {
    if (type === frameTypes.windowUpdate) {
      const bytes = payload.readUInt32BE(0);
      if (stream === 0) this.connectionBytes += bytes;
      else this.streamBytes += bytes;
    }
    if (flags === ACKNOWLEDGED) return;
    if (type === frameTypes.settings) {
      this.onSettings(payload);
      void this.client.send(frame(type, ACKNOWLEDGED, 0, Buffer.alloc(0)));
    }
    if (type === frameTypes.ping) {
      void this.client.send(frame(type, ACKNOWLEDGED, 0, payload));
    }
  }

  private onSettings(payload: Buffer): void {
    for (let offset = 0; offset < payload.length; offset += SETTING_BYTES) {
      if (payload.readUInt16BE(offset) !== INITIAL_WINDOW_SETTING) continue;
      const bytes = payload.readUInt32BE(offset + 2);
      this.streamBytes += bytes - this.initialBytes;
      this.initialBytes = bytes;
    }
  }
}

export interface CallMessage {
  readonly path: string;
  /** Length that the message's header names, bytes. */
  readonly announcedBytes: number;
  readonly sentBytes: number;
  readonly frameBytes: number;
}

/** Calls the method with a message that comes in frames of one size. */
export function callInFrames(message: CallMessage): ClientBehaviour {
  return async (client) => {
    const windows = SendWindows.create(client);
    const fields = {
      ":method": "POST",
      ":scheme": "http",
      ":path": message.path,
      ":authority": "agent",
      "content-type": "application/grpc",
      te: "trailers",
    };
    const start = Buffer.concat([
      Buffer.from(PREFACE),
      frame(frameTypes.settings, 0, 0, Buffer.alloc(0)),
      frame(frameTypes.headers, END_HEADERS, STREAM, headerBlock(fields)),
    ]);
    if (!(await client.send(start))) return;
    const header = Buffer.alloc(MESSAGE_HEADER_BYTES);
    header.writeUInt32BE(message.announcedBytes, 1);
    windows.take(MESSAGE_HEADER_BYTES, MESSAGE_HEADER_BYTES);
    await client.send(frame(frameTypes.data, 0, STREAM, header));
    await sendData(client, windows, message);
  };
}

async function sendData(
  client: Client,
  windows: SendWindows,
  { sentBytes, frameBytes }: CallMessage,
): Promise<void> {
  const data = frame(frameTypes.data, 0, STREAM, Buffer.alloc(frameBytes));
  const batchFrames = Math.max(1, Math.floor(BATCH_BYTES / data.length));
  let idlePolls = 0;
  let sent = 0;
  while (sent < sentBytes && idlePolls < IDLE_POLLS) {
    const wantedBytes = Math.min(sentBytes - sent, batchFrames * frameBytes);
    const bytes = windows.take(wantedBytes, frameBytes);
    if (bytes === 0) {
      idlePolls += 1;
      await pause(POLL_INTERVAL_MS);
      continue;
    }
    idlePolls = 0;
    sent += bytes;
    const frames = Array.from({ length: bytes / frameBytes }, () => data);
    if (!(await client.send(Buffer.concat(frames)))) return;
  }
}
