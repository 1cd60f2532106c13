/**
 * Decodes the register record by record. Its writers aren't trusted: a record
 * that doesn't describe a usable runner is skipped without affecting the
 * others. If it replaces a valid record, that server becomes unusable too,
 * since the earlier record may no longer be true.
 */
import { toFailure } from "../internal.js";
import type { KeyedRecord } from "../platform/keyed-topic.js";
import type { RecordFindings } from "../platform/record-findings.js";
import { isHostPort } from "./host-port.js";
import type { BackendServer, RegisterChange } from "./types.js";

export interface RegisterReaderOptions {
  /** Throws 1903 for a record that can't be decoded. */
  readonly decode: (record: KeyedRecord) => RegisterChange;
  readonly findings: RecordFindings;
}

/** Stream name under which unusable register records are reported. */
export const REGISTER_STREAM = "register";

/**
 * An id is sent in a header of every request, where spaces and control
 * characters would change or break it. Ids of runners have about ten
 * characters.
 */
const SERVER_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

export class RegisterReader {
  private constructor(private readonly options: RegisterReaderOptions) {}

  static create(options: RegisterReaderOptions): RegisterReader {
    return new RegisterReader(options);
  }

  /** Returns one change per record, in the same order. Doesn't throw. */
  read(records: readonly KeyedRecord[]): readonly RegisterChange[] {
    return records.map((record) => this.readRecord(record));
  }

  private readRecord(record: KeyedRecord): RegisterChange {
    try {
      const change = this.options.decode(record);
      const reason = unusableReason(change.server);
      if (reason === undefined) return change;
      return this.skip(record, reason);
    } catch (error) {
      return this.skip(record, toFailure(error, 1903).message);
    }
  }

  private skip(record: KeyedRecord, reason: string): RegisterChange {
    const { key, value = Buffer.alloc(0) } = record;
    this.options.findings.report({
      stream: REGISTER_STREAM,
      key,
      content: value,
      reason,
    });
    return { id: key, server: undefined, isUnusable: true };
  }
}

/** Undefined for a usable runner and for a removal. */
function unusableReason(server: BackendServer | undefined): string | undefined {
  if (server === undefined) return undefined;
  const { id, address, slots } = server;
  if (!SERVER_ID_PATTERN.test(id)) return "the key is not a valid server id";
  if (!isHostPort(address)) return "the address is not a host:port";
  if (slots < 1) return "slots must be at least 1";
  return undefined;
}
