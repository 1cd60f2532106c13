/** The coordination parts, free of sockets, for use inside the product. */

// shared
export * from "./shared/deferred.js";
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

// orders
