/** Registry of the measurements by name; each module is loaded on demand. */

/** Prints a readable table, then one JSON object as its last line. */
export type Measurement = (options: readonly string[]) => Promise<void>;

export const measurements: Readonly<
  Partial<Record<string, () => Promise<Measurement>>>
> = {
  admission: async () => (await import("./admission.js")).measureAdmission,
  decisions: async () => (await import("./decisions.js")).measureDecisions,
  placement: async () => (await import("./placement.js")).measurePlacement,
  path: async () => (await import("./path.js")).measurePath,
  skew: async () => (await import("./skew.js")).measureSkew,
  claims: async () => (await import("./claims.js")).measureClaims,
  configuration: async () =>
    (await import("./configuration.js")).measureConfiguration,
  slopes: async () => (await import("./slopes.js")).measureSlopes,
  "load-view": async () => (await import("./load-view.js")).measureLoadView,
};
