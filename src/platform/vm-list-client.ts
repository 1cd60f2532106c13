/**
 * Client of the platform's list of VMs, which may be stale (docs/PLATFORM.md).
 */
import { request } from "undici";
import * as z from "zod";
import { toFailure } from "../internal.js";
import { isHostPort } from "../membership/host-port.js";
import { checkValue } from "./json-value.js";
import type { RecordFindings } from "./record-findings.js";

const READ_TIMEOUT_MS = 3000;

/** Stream name in reports of unusable list items. */
const VM_LIST_STREAM = "vms";

const vmSchema = z.object({
  name: z.string().min(1),
  role: z.enum(["entry", "backend"]),
  /** host:port for traffic between daemons. */
  address: z.string().refine(isHostPort, "host:port"),
  /** host:port for operators; only the command-line tool uses it. */
  operators: z.string(),
  dataCentre: z.string(),
  /** Group of the backend server; only on backend server VMs. */
  group: z.string().optional(),
  state: z.enum(["live", "leaving"]),
});

const listSchema = z.object({ vms: z.array(z.unknown()) });

export type Vm = Readonly<z.infer<typeof vmSchema>>;

/**
 * Returns the valid VMs of the list. An invalid one is skipped and reported to
 * `findings`, so that it doesn't hide the others. Throws 1903 if the list can't
 * be read or the answer isn't a list.
 */
export async function readVmList(
  listAddress: string,
  findings?: RecordFindings,
): Promise<readonly Vm[]> {
  try {
    const response = await request(`${listAddress}/vms`, {
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    const { vms } = checkValue(listSchema, await response.body.json());
    return vms.flatMap((vm) => parseVm(vm, findings));
  } catch (error) {
    throw toFailure(error, 1903);
  }
}

function parseVm(
  vm: unknown,
  findings: RecordFindings | undefined,
): readonly Vm[] {
  try {
    return [checkValue(vmSchema, vm)];
  } catch (error) {
    findings?.report({
      stream: VM_LIST_STREAM,
      key: "",
      content: Buffer.from(JSON.stringify(vm)),
      reason: toFailure(error, 1903).message,
    });
    return [];
  }
}
