/** All measurements by name, loaded on demand. */

/** Prints a table for people and, as its last line, one JSON object. */
export type Measure = (options: readonly string[]) => Promise<void>;

export const measurements: Readonly<
  Partial<Record<string, () => Promise<Measure>>>
> = {
  admission: async () => (await import("./admission.js")).measureAdmission,
  decisions: async () => (await import("./decisions.js")).measureDecisions,
  placement: async () => (await import("./placement.js")).measurePlacement,
  path: async () => (await import("./path.js")).measurePath,
  skew: async () => (await import("./skew.js")).measureSkew,
  claims: async () => (await import("./claims.js")).measure,
  configuration: async () => (await import("./configuration.js")).measure,
  slopes: async () => (await import("./slopes.js")).measureSlopes,
};
