/** Starts an agent's side of the shared view of load. */
import type { RankAgentSettings } from "../direct/settings.js";
import {
  LoadHubServer,
  type LoadHubServerOptions,
} from "../loadview/load-hub-server.js";

/** Undefined if the settings name no address for it. */
export async function startLoadHub(
  { loadView }: RankAgentSettings,
  options: Omit<LoadHubServerOptions, "address" | "now">,
): Promise<LoadHubServer | undefined> {
  if (loadView === undefined) return undefined;
  const now = (): number => performance.now();
  return LoadHubServer.create({ ...options, address: loadView, now });
}
