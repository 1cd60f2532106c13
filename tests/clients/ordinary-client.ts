/** What an ordinary client does when it is refused or not read. */
import { pause } from "../support/wait.js";

const TRIES = 40;
const TRY_INTERVAL_MS = 250;

/** Calls until there is an answer; undefined if there is none in any try. */
export async function tryAgain<Answer>(
  call: (tries: number) => Promise<Answer | undefined>,
): Promise<Answer | undefined> {
  for (let tries = 0; tries < TRIES; tries += 1) {
    const answer = await call(tries);
    if (answer !== undefined) return answer;
    await pause(TRY_INTERVAL_MS);
  }
  return undefined;
}
