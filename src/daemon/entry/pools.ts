/** Names of the pools by which admission and placement separate requests. */
import type { BackendGroup, Profile } from "../../internal.js";

export function poolOfProfile({ target }: Profile): string {
  return target.kind === "model"
    ? `model ${target.model}`
    : `service ${target.service}`;
}

/** Returns an empty name for a group that isn't in the configuration. */
export function poolOfGroup(group: BackendGroup | undefined): string {
  if (group === undefined) return "";
  return group.kind === "model"
    ? `model ${group.model}`
    : `service ${group.service}`;
}
