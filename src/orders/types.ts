/**
 * Types of orders to engines: load a model or an adapter, or set a version or a
 * role.
 */
import type { ApricotdeckError } from "../internal.js";

export type OrderKind = "load-model" | "load-adapter" | "version" | "role";

export interface Order {
  /**
   * Log offset of the order's own record, used as its fencing token; higher is
   * newer.
   */
  readonly fencing: number;
  /** Backend server whose engine receives the order. */
  readonly runner: string;
  readonly kind: OrderKind;
  /** Name of the model or adapter to load, the version or the role. */
  readonly value: string;
}

/**
 * State that an engine reports on `GET /orders`: the last value of each kind.
 */
export interface EngineOrderState {
  /** Changes with every start of the engine. */
  readonly engine: string;
  readonly values: Readonly<Partial<Record<OrderKind, string>>>;
  /** Highest fencing token seen; absent for engines that ignore it. */
  readonly fencing?: number;
}

/** How the engine of a backend server handles fencing tokens. */
export interface EngineOrderSettings {
  /** Whether the engine refuses orders with an old fencing token. */
  readonly checksFencing: boolean;
  /**
   * Maximum time in which an order that was already sent can take effect, ms.
   */
  readonly effectMs: number;
}

export type OrderCall =
  { readonly kind: "give"; readonly order: Order } | { readonly kind: "read" };

/** Response of the engine; to an order, it is sent after the effect. */
export interface OrderAnswer {
  /** False if the engine refused the fencing token. */
  readonly accepted: boolean;
  readonly state: EngineOrderState;
}

export type OrderReply =
  /** The engine's state shows the order. */
  | { readonly kind: "confirmed"; readonly order: Order }
  | {
      readonly kind: "failed";
      readonly order: Order;
      readonly error: ApricotdeckError;
    };

export type OrderEffect =
  | { readonly kind: "engine"; readonly call: OrderCall }
  | { readonly kind: "reply"; readonly reply: OrderReply };
