/** Stand-in of the platform's list of VMs, which shows changes late. */
import type { Vm } from "../src/platform/vm-list-client.js";
import { answerJson, startServer, type StandInServer } from "./http.js";

export interface VmListStandIn extends StandInServer {
  /** Changes the list; readers see it after the lag. */
  readonly change: (vms: readonly Vm[]) => void;
  readonly faults: { lagMs: number; outage: boolean };
}

export async function startVmList(port = 0): Promise<VmListStandIn> {
  const faults = { lagMs: 0, outage: false };
  let shown: readonly Vm[] = [];
  const server = await startServer(({ response }) => {
    if (faults.outage) answerJson(response, { error: "outage" }, 503);
    else answerJson(response, { vms: shown });
  }, port);
  return {
    ...server,
    faults,
    change: (vms) => {
      const show = (): void => {
        shown = vms;
      };
      if (faults.lagMs === 0) show();
      else setTimeout(show, faults.lagMs).unref();
    },
  };
}
