/** Client of the platform's lagging list of VMs (docs/PLATFORM.md). */
import { request } from "undici";
import { z } from "zod";
import { toFailure } from "../internal.js";
import { isHostPort } from "../membership/host-port.js";
import { checkValue } from "./json-value.js";
import type { RecordFindings } from "./record-findings.js";

const TIMEOUT_MS = 3000;

/** The name under which findings on the list are told. */
const VM_LIST_STREAM = "vms";

const vmSchema = z.object({
  name: z.string().min(1),
  role: z.enum(["entry", "backend"]),
  /** host:port between the daemons. */
  address: z.string().refine(isHostPort, "host:port"),
  /** host:port for operators; only the command-line tool asks there. */
  operators: z.string(),
  dataCentre: z.string(),
  /** Group of backend servers, for backend server VMs. */
  group: z.string().optional(),
  state: z.enum(["live", "leaving"]),
});

const listSchema = z.object({ vms: z.array(z.unknown()) });

export type Vm = Readonly<z.infer<typeof vmSchema>>;

/**
 * The VMs that can be read; another one is left out and told to `findings`,
 * so that it doesn't hide the others. Throws 1903 for an answer that isn't a
 * list.
 */
export async function readVmList(
  listAddress: string,
  findings?: RecordFindings,
): Promise<readonly Vm[]> {
  try {
    const response = await request(`${listAddress}/vms`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const { vms } = checkValue(listSchema, await response.body.json());
    return vms.flatMap((vm) => usableVm(vm, findings));
  } catch (error) {
    throw toFailure(error, 1903);
  }
}

function usableVm(
  vm: unknown,
  findings: RecordFindings | undefined,
): readonly Vm[] {
  try {
    return [checkValue(vmSchema, vm)];
  } catch (error) {
    findings?.note({
      stream: VM_LIST_STREAM,
      key: "",
      content: Buffer.from(JSON.stringify(vm)),
      reason: toFailure(error, 1903).message,
    });
    return [];
  }
}
