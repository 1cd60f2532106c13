/** Names of the pools that placement and admission keep apart. */
import type { BackendGroup, Profile } from "../../internal.js";

export function poolOfProfile({ target }: Profile): string {
  return target.kind === "model"
    ? `model ${target.model}`
    : `service ${target.service}`;
}

/** Empty for a group that the configuration doesn't know. */
export function poolOfGroup(group: BackendGroup | undefined): string {
  if (group === undefined) return "";
  return group.kind === "model"
    ? `model ${group.model}`
    : `service ${group.service}`;
}
