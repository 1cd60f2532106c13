/** The coordination parts, free of sockets, for use inside the product. */

// shared
export * from "./shared/errors.js";
export * from "./shared/events.js";
export * from "./shared/exhaustive.js";
export * from "./shared/hybrid-clock.js";
export * from "./shared/random.js";

// configuration
export * from "./configuration/schema.js";

// claims

// session
export * from "./session/agent-gate.js";
export * from "./session/agent-types.js";
export * from "./session/entry-sessions.js";
export * from "./session/entry-types.js";
export * from "./session/ledger.js";
export * from "./session/limits.js";
export * from "./session/types.js";

// admission

// placement

// balance

// expertmap

// orders
