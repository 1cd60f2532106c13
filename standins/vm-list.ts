/** Simulates the platform's VM list, which is eventually consistent. */
import type { Vm } from "../src/platform/vm-list-client.js";
import { sendJson, startServer, type StandInServer } from "./http.js";

export interface VmListStandIn extends StandInServer {
  /** Replaces the list; readers see the change after `lagMs`. */
  readonly setVms: (vms: readonly Vm[]) => void;
  readonly faults: { lagMs: number; outage: boolean };
}

export async function startVmList(port = 0): Promise<VmListStandIn> {
  const faults = { lagMs: 0, outage: false };
  let visibleVms: readonly Vm[] = [];
  const server = await startServer(({ response }) => {
    if (faults.outage) sendJson(response, { error: "outage" }, 503);
    else sendJson(response, { vms: visibleVms });
  }, port);
  return {
    ...server,
    faults,
    setVms: (vms) => {
      const publish = (): void => {
        visibleVms = vms;
      };
      if (faults.lagMs === 0) publish();
      else setTimeout(publish, faults.lagMs).unref();
    },
  };
}
