/** Tells whether an operation succeeds, fails or exceeds a time limit. */

export type Outcome = "answered" | "failed" | "late";

/** The time limit starts with the call. */
export async function outcomeWithin(
  operation: Promise<unknown>,
  timeoutMs: number,
): Promise<Outcome> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<Outcome>((resolve) => {
    timer = setTimeout(resolve, timeoutMs, "late");
  });
  const settled = operation.then(
    () => "answered" as const,
    () => "failed" as const,
  );
  const outcome = await Promise.race([settled, late]);
  clearTimeout(timer);
  return outcome;
}
