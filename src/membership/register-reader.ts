/**
 * Reads the register record by record. Whoever can write there can write
 * anything: a record that names no runner to use is left out for itself, and
 * the others hold. One that stands where a good one was makes that one unusable
 * too, since nobody knows any more whether it holds.
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

/** The name under which findings on the register are told. */
export const REGISTER_STREAM = "register";

/**
 * An id goes into a header of every request, where blanks and control
 * characters would change or break it. Ids of runners have about ten
 * characters.
 */
const ID = /^[\x21-\x7e]{1,128}$/;

export class RegisterReader {
  private constructor(private readonly options: RegisterReaderOptions) {}

  static create(options: RegisterReaderOptions): RegisterReader {
    return new RegisterReader(options);
  }

  /** One change for each record, in the same order. Doesn't throw. */
  read(records: readonly KeyedRecord[]): readonly RegisterChange[] {
    return records.map((record) => this.readOne(record));
  }

  private readOne(record: KeyedRecord): RegisterChange {
    try {
      const change = this.options.decode(record);
      const reason = unusableReason(change.server);
      if (reason === undefined) return change;
      return this.leaveOut(record, reason);
    } catch (error) {
      return this.leaveOut(record, toFailure(error, 1903).message);
    }
  }

  private leaveOut(record: KeyedRecord, reason: string): RegisterChange {
    const { key, value = Buffer.alloc(0) } = record;
    this.options.findings.note({
      stream: REGISTER_STREAM,
      key,
      content: value,
      reason,
    });
    return { id: key, server: undefined, isUnusable: true };
  }
}

/** Undefined for a runner that can be used, and for a removal. */
function unusableReason(server: BackendServer | undefined): string | undefined {
  if (server === undefined) return undefined;
  const { id, address, slots } = server;
  if (!ID.test(id)) return "the key is no id of a runner";
  if (!isHostPort(address)) return "the address is no host:port";
  if (slots < 1) return "no slots";
  return undefined;
}
