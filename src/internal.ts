/** Internal exports: the coordination logic, without network I/O. */

// shared
export * from "./shared/deferred.js";
export * from "./shared/errors.js";
export * from "./shared/events.js";
export * from "./shared/exhaustive.js";
export * from "./shared/hybrid-clock.js";
export * from "./shared/metrics.js";
export * from "./shared/random.js";

// configuration
export * from "./configuration/schema.js";
export * from "./configuration/types.js";
export * from "./configuration/content-hash.js";
export * from "./configuration/check.js";
export * from "./configuration/envelope.js";
export * from "./configuration/formats.js";
export * from "./configuration/rules.js";
export * from "./configuration/state.js";
export * from "./configuration/acceptance.js";
export * from "./configuration/recovery.js";
export * from "./configuration/verdict.js";
export * from "./configuration/relays.js";
export * from "./configuration/checkpoint-schedule.js";

// claims
export * from "./claims/types.js";
export * from "./claims/keys.js";
export * from "./claims/codec.js";
export * from "./claims/table.js";
export * from "./claims/batcher.js";
export * from "./claims/append-schedule.js";
export * from "./claims/abandoned-claims.js";
export * from "./claims/attempt-answer.js";
export * from "./claims/coordinator-types.js";
export * from "./claims/pending-calls.js";
export * from "./claims/coordinator.js";

// session
export * from "./session/agent-gate.js";
export * from "./session/agent-types.js";
export * from "./session/entry-sessions.js";
export * from "./session/entry-types.js";
export * from "./session/ledger.js";
export * from "./session/limits.js";
export * from "./session/types.js";

// admission
export * from "./admission/types.js";
export * from "./admission/account-limits.js";
export * from "./admission/admission.js";
export * from "./admission/agent-limit.js";
export * from "./admission/output-estimate.js";
export * from "./admission/retry-allowance.js";
export * from "./admission/room-forecast.js";

// placement
export * from "./placement/types.js";
export * from "./placement/defaults.js";
export * from "./placement/placement.js";

// balance
export * from "./balance/types.js";
export * from "./balance/balancer.js";
export * from "./balance/expert-map.js";
export * from "./balance/fixed-time.js";
export * from "./balance/load-forecast.js";
export * from "./balance/lower-bound.js";
export * from "./balance/planner.js";
export * from "./balance/planner-task.js";
export * from "./balance/planner-thread.js";
export * from "./balance/rank-reports.js";
export * from "./balance/refine.js";
export * from "./balance/repack.js";
export * from "./balance/request-shares.js";
export * from "./balance/step-model.js";
export * from "./balance/window-assembly.js";
export * from "./balance/window-collector.js";

// expertmap
export * from "./expertmap/ballot.js";
export * from "./expertmap/types.js";
export * from "./expertmap/map.js";
export * from "./expertmap/votes.js";
export * from "./expertmap/weight-fetch.js";
export * from "./expertmap/switch.js";
export * from "./expertmap/proposer.js";
export * from "./expertmap/formation.js";
export * from "./expertmap/staging.js";
export * from "./expertmap/staging-fetch.js";
export * from "./expertmap/membership.js";
export * from "./expertmap/step-checker.js";
export * from "./expertmap/agent.js";

// orders
export * from "./orders/types.js";
export * from "./orders/lease.js";
export * from "./orders/order-executor.js";
