/** HTTP queries to the operators' addresses of all processes. */
import { request } from "undici";
import { isEndMarked } from "../shared/answer-end.js";
import { readVmList, type Vm } from "../platform/vm-list-client.js";

const REQUEST_TIMEOUT_MS = 3000;

export interface ProcessAnswer {
  readonly vm: Vm;
  /** Undefined if the process can't be reached or its answer is incomplete. */
  readonly answer: unknown;
}

export async function queryAllProcesses(
  vmList: string,
  path: string,
): Promise<ProcessAnswer[]> {
  const vms = await readVmList(vmList);
  return Promise.all(
    vms.map(async (vm) => ({
      vm,
      answer: await queryProcess(vm, "GET", path),
    })),
  );
}

/**
 * The answer of one process as a JSON value, or as text if it isn't JSON.
 * Undefined if the process can't be reached or its answer is incomplete.
 */
export async function queryProcess(
  { operators }: Vm,
  method: "GET" | "POST",
  path: string,
): Promise<unknown> {
  try {
    const response = await request(`http://${operators}${path}`, {
      method,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await response.body.text();
    const { statusCode, headers } = response;
    // A truncated answer that isn't JSON can't be distinguished from a complete
    // one, and the output would silently lack a part of this process's data.
    if (!isEndMarked(statusCode, headers, method)) return undefined;
    return parseJsonOrText(text);
  } catch {
    return undefined;
  }
}

export function unreachableNames(answers: readonly ProcessAnswer[]): string[] {
  return answers
    .filter(({ answer }) => answer === undefined)
    .map(({ vm }) => vm.name);
}

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
