/** Asks every process of the system on its operators' address. */
import { request } from "undici";
import { isEndMarked } from "../shared/answer-end.js";
import { readVmList, type Vm } from "../platform/vm-list-client.js";

const TIMEOUT_MS = 3000;

export interface ProcessAnswer {
  readonly vm: Vm;
  /** Undefined when the process can't be reached or its answer broke off. */
  readonly answer: unknown;
}

export async function askAll(
  vmList: string,
  path: string,
): Promise<ProcessAnswer[]> {
  const vms = await readVmList(vmList);
  return Promise.all(
    vms.map(async (vm) => ({ vm, answer: await ask(vm, "GET", path) })),
  );
}

/** The answer of one process; text when it isn't JSON. */
export async function ask(
  { operators }: Vm,
  method: "GET" | "POST",
  path: string,
): Promise<unknown> {
  try {
    const response = await request(`http://${operators}${path}`, {
      method,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const text = await response.body.text();
    const { statusCode, headers } = response;
    // Part of a text is a text: a story would miss a process unnoticed.
    if (!isEndMarked(statusCode, headers, method)) return undefined;
    return parseOr(text);
  } catch {
    return undefined;
  }
}

export function unreachable(answers: readonly ProcessAnswer[]): string[] {
  return answers
    .filter(({ answer }) => answer === undefined)
    .map(({ vm }) => vm.name);
}

function parseOr(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
