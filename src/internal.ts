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

// admission

// placement

// balance

// expertmap
export * from "./expertmap/ballot.js";
export * from "./expertmap/types.js";
export * from "./expertmap/map.js";
export * from "./expertmap/votes.js";
export * from "./expertmap/fetch.js";
export * from "./expertmap/switch.js";
export * from "./expertmap/proposer.js";
export * from "./expertmap/formation.js";
export * from "./expertmap/staging.js";
export * from "./expertmap/step-check.js";
export * from "./expertmap/agent.js";

// orders
