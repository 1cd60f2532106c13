/** Types of orders to engines: load a model, an adapter, a version; a role. */
import type { ApricotdeckError } from "../internal.js";

export type OrderKind = "load-model" | "load-adapter" | "version" | "role";

export interface Order {
  /** Log offset of the order's own record; higher is newer. */
  readonly fencing: number;
  /** Backend server whose engine it is for. */
  readonly runner: string;
  readonly kind: OrderKind;
  /** Name of what is to be loaded, or of the role. */
  readonly value: string;
}

/** What an engine shows on `GET /orders`: the last value of each kind. */
export interface EngineOrderState {
  /** New for every start of the engine. */
  readonly engine: string;
  readonly values: Readonly<Partial<Record<OrderKind, string>>>;
  /** Highest fencing number seen; absent in engines that ignore the number. */
  readonly fencing?: number;
}

/** How the engine of a backend server treats fencing numbers. */
export interface EngineOrderSettings {
  /** The engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Longest time in which an order already sent can still take effect, ms. */
  readonly effectMs: number;
}

export type OrderCall =
  { readonly kind: "give"; readonly order: Order } | { readonly kind: "read" };

/** The engine's answer to an order that is given comes after its effect. */
export interface OrderAnswer {
  /** False when the engine refused the fencing number. */
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
