/** All fuzz targets by name, imported on demand. */
import type { FuzzTarget } from "./target.js";

export type LoadTarget = () => Promise<FuzzTarget>;

export const targets: Readonly<Partial<Record<string, LoadTarget>>> = {
  drain: async () => (await import("./drain.js")).drainTarget,
  requests: async () => (await import("./requests.js")).requestsTarget,
  expertmap: async () => (await import("./expertmap.js")).expertmapTarget,
  configuration: async () =>
    (await import("./configuration/configuration.js")).configurationTarget,
  orders: async () => (await import("./orders.js")).ordersTarget,
  records: async () => (await import("./records.js")).recordsTarget,
  claims: async () => (await import("./claims/claims.js")).claimsTarget,
  suspects: async () => (await import("./suspects/suspects.js")).suspectsTarget,
  limits: async () => (await import("./limits/limits.js")).limitsTarget,
  lives: async () =>
    (await import("./membership/incarnations.js")).incarnationsTarget,
};
