/** The connections of one listener, of which some are closed if there are many. */
import type { Socket } from "node:net";
import type { Emit, Measurements } from "../internal.js";
import { chooseToClose, type ConnectionUse } from "./connection-choice.js";

export interface AcceptedConnection<Key> extends ConnectionUse {
  readonly key: Key;
  readonly socket: Socket;
}

export interface AcceptedConnectionsOptions {
  /** Name of the listener in events and metrics. */
  readonly listener: string;
  readonly maximumConnections: () => number;
  readonly emit: Emit;
  readonly measurements: Measurements;
}

type CloseReason =
  "too many connections" | "too many requests" | "heads" | "memory";

export class AcceptedConnections<
  Key,
  Connection extends AcceptedConnection<Key>,
> {
  private readonly byKey = new Map<Key, Connection>();

  private constructor(private readonly options: AcceptedConnectionsOptions) {}

  static create<Key, Connection extends AcceptedConnection<Key>>(
    options: AcceptedConnectionsOptions,
  ): AcceptedConnections<Key, Connection> {
    return new AcceptedConnections(options);
  }

  find(key: Key): Connection | undefined {
    return this.byKey.get(key);
  }

  list(): readonly Connection[] {
    return [...this.byKey.values()];
  }

  /**
   * Closes another connection if there are too many; false if that is the new
   * one, since all others are in use.
   */
  tryAdd(connection: Connection): boolean {
    if (this.byKey.size >= this.options.maximumConnections()) {
      const chosen = chooseToClose(this.byKey.values());
      this.close(chosen ?? connection, "too many connections");
      if (chosen === undefined) return false;
    }
    this.byKey.set(connection.key, connection);
    this.onCountChanged();
    connection.socket.once("close", () => {
      this.forget(connection);
    });
    return true;
  }

  /** What is still read from it isn't found any more. */
  close(connection: Connection, reason: CloseReason): void {
    const { listener, emit, measurements } = this.options;
    emit(269, { listener, reason, connections: this.byKey.size });
    measurements.count("connectionsClosed", { listener, reason });
    this.forget(connection);
    connection.socket.destroy();
  }

  private forget(connection: Connection): void {
    if (this.byKey.get(connection.key) !== connection) return;
    this.byKey.delete(connection.key);
    this.onCountChanged();
  }

  private onCountChanged(): void {
    const { listener, measurements } = this.options;
    measurements.set("openConnections", this.byKey.size, { listener });
  }
}
