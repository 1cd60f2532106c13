/** Test routes and configurations with defaults for unspecified fields. */
import type { Route, SiteConfiguration } from "../../src/routing/types.js";

export function createRoute(fields: Partial<Route>): Route {
  return {
    name: "route",
    hostname: "site.example",
    pathPrefix: "/",
    kind: "idempotent",
    timeoutMs: 2000,
    objectiveMs: 200,
    pauseObjectiveMs: 120,
    maximumAttempts: 2,
    priority: 1,
    isPublic: false,
    isResumable: false,
    shares: [{ service: "service", weight: 1 }],
    ...fields,
  };
}

export function createSiteConfiguration(
  fields: Partial<SiteConfiguration>,
): SiteConfiguration {
  return {
    version: 1,
    routes: [],
    services: [],
    accounts: [],
    bounds: {
      headBytes: 16_384,
      bodyBytes: 4096,
      headMs: 3000,
      idleMs: 15_000,
    },
    ...fields,
  };
}
