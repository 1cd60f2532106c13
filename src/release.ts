/** Release version of all programs in this package. */
export const RELEASE = "0.1.0";
