/** Release of all programs of this package. */
export const RELEASE = "0.1.0";
