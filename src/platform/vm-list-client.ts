/** Client of the platform's lagging list of VMs (docs/PLATFORM.md). */
import { request } from "undici";
import { z } from "zod";
import { raise, toFailure } from "../internal.js";

const TIMEOUT_MS = 3000;

const vmSchema = z.object({
  name: z.string(),
  role: z.enum(["entry", "backend"]),
  /** host:port between the daemons. */
  address: z.string(),
  /** host:port for operators. */
  operators: z.string(),
  dataCentre: z.string(),
  /** Group of backend servers, for backend server VMs. */
  group: z.string().optional(),
  state: z.enum(["live", "leaving"]),
});

const listSchema = z.object({ vms: z.array(vmSchema).readonly() });

export type Vm = Readonly<z.infer<typeof vmSchema>>;

/** Throws 1903 for an answer that isn't a list. */
export async function readVmList(address: string): Promise<readonly Vm[]> {
  try {
    const response = await request(`${address}/vms`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const result = listSchema.safeParse(await response.body.json());
    if (result.success) return result.data.vms;
    return raise(1903, { reason: result.error.message });
  } catch (error) {
    throw toFailure(error, 1903);
  }
}
