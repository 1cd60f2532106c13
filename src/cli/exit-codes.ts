/** Exit codes of the command-line tool (docs/COMMANDS.md). */
export const exitCodes = {
  done: 0,
  /** Refused, invalid or superseded; the reason is printed. */
  refused: 1,
  usage: 2,
  /** Some processes could not be reached or were not ready in time. */
  incomplete: 3,
  /** The platform could not be reached, or an internal error occurred. */
  failed: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
