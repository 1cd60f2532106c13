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
export * from "./balance/types.js";
export * from "./balance/balancer.js";
export * from "./balance/expert-map.js";
export * from "./balance/load-forecast.js";
export * from "./balance/lower-bound.js";
export * from "./balance/planner.js";
export * from "./balance/rank-reports.js";
export * from "./balance/repack.js";
export * from "./balance/request-shares.js";
export * from "./balance/step-model.js";

// expertmap

// orders
