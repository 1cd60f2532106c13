/** Whether work ends in time, and how. */

export type Outcome = "answered" | "failed" | "late";

/** `withinMs`: from now on. */
export async function outcomeWithin(
  work: Promise<unknown>,
  withinMs: number,
): Promise<Outcome> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<Outcome>((resolve) => {
    timer = setTimeout(resolve, withinMs, "late");
  });
  const done = work.then(
    () => "answered" as const,
    () => "failed" as const,
  );
  const first = await Promise.race([done, late]);
  clearTimeout(timer);
  return first;
}
